#include "EmulatedGateway.h"

#include <algorithm>
#include <cmath>

namespace citronspoke::emulator {

namespace {

    /** The entry of a crashed engine lapses after three heartbeats. */
    constexpr Milliseconds EntryLifetime { 3600 };
    constexpr Milliseconds LoadRepeat { 500 };
    /** What a caller waits before it comes again when its request failed. */
    constexpr Milliseconds CallerPause { 250 };
    constexpr Milliseconds ColdStartTime { 300 };

    size_t rounded(double count) { return static_cast<size_t>(std::lround(count)); }

    /** What one arrival came to. */
    struct Result {
        std::optional<Micros> firstToken;
        bool isServed = false;
    };

    /** One play from its first event to its last. */
    class Play {
    public:
        Play(const Site& site, const LoadPattern& pattern, const Policy& policy, uint64_t seed)
            : m_site(site)
            , m_pattern(pattern)
            , m_fleet { m_queue, m_site, policy, {}, std::mt19937_64(seed), {}, {} }
            , m_arrivals(drawArrivals(pattern, seed))
            , m_results(m_arrivals.size())
            , m_random(seed)
        {
            addEngines();
            addGateways();
        }

        Outcome run()
        {
            for (const Disturbance& disturbance : m_pattern.disturbances)
                std::visit([this](const auto& each) { schedule(each); }, disturbance);
            for (size_t index = 0; index < m_arrivals.size(); ++index)
                m_queue.after(
                    m_arrivals[index].at, [this, index] { attempt(index, m_pattern.attempts); });
            repeatLoads();
            constexpr Milliseconds Rest { 10000 };
            m_queue.runUntil(m_pattern.length + Rest);
            return outcome();
        }

    private:
        fleet::TargetEntry entryOf(size_t index)
        {
            fleet::TargetEntry entry;
            entry.id = TargetId("e" + std::to_string(index) + "." + std::to_string(++m_lives));
            entry.pool = EnginePool;
            entry.address = { "10.0.0." + std::to_string(index), 1 };
            entry.zone = ZoneId("zone-" + std::to_string(index % m_site.zones));
            entry.slots = m_site.engine.slots;
            entry.role = index < m_site.makers ? EngineRole::Decode : EngineRole::Prefill;
            entry.registration = fleet::Registration(static_cast<int64_t>(m_lives));
            return entry;
        }

        double slownessOf(size_t index) const
        {
            return m_site.slowness[index / m_site.zones % m_site.slowness.size()];
        }

        void addEngines()
        {
            for (size_t index = 0; index < m_site.engines; ++index)
                m_fleet.engines.push_back(std::make_unique<EmulatedEngine>(
                    m_queue, m_site.engine, entryOf(index), slownessOf(index)));
        }

        void addGateways()
        {
            for (size_t index = 0; index < m_site.gateways; ++index) {
                m_gateways.push_back(
                    std::make_unique<EmulatedGateway>(m_fleet, EntryId("g" + std::to_string(index)),
                        ZoneId("zone-" + std::to_string(index % m_site.zones))));
                m_gateways.back()->restart();
            }
            m_fleet.tellLoad
                = [this](const EntryId& from, const TargetId& engine, const dispatch::Load& load) {
                      tell(from, [=](EmulatedGateway& to) { to.notePeerLoad(from, engine, load); });
                  };
            m_fleet.tellParts = [this](const EntryId& from, const TargetId& engine,
                                    const std::vector<fleet::PromptPart>& parts) {
                tell(from, [=](EmulatedGateway& to) { to.noteParts(engine, parts); });
            };
        }

        void tell(const EntryId& from, const std::function<void(EmulatedGateway&)>& what)
        {
            for (const std::unique_ptr<EmulatedGateway>& gateway : m_gateways) {
                if (gateway->id() != from)
                    m_queue.after(m_site.peerDelay, [what, to = gateway.get()] { what(*to); });
            }
        }

        void repeatLoads()
        {
            for (const std::unique_ptr<EmulatedGateway>& gateway : m_gateways)
                gateway->repeatLoads();
            m_queue.after(LoadRepeat, [this] { repeatLoads(); });
        }

        void schedule(const Burst&) { }
        void schedule(const Leavers&) { }

        void schedule(const SlowLinks& slow)
        {
            const size_t count = rounded(slow.share * static_cast<double>(m_fleet.engines.size()));
            const auto set = [this, count](double factor) {
                // Spread over the engines, so that makers and readers are among them.
                for (size_t number = 0; number < count; ++number)
                    m_fleet.engines[number * m_fleet.engines.size() / count]->slowLinks(factor);
            };
            m_queue.after(slow.span.from, [set, factor = slow.factor] { set(factor); });
            m_queue.after(slow.span.from + slow.span.length, [set] { set(1); });
        }

        void schedule(const EngineLoss& loss)
        {
            m_queue.after(loss.span.from, [this, loss] {
                size_t left = 0;
                for (const std::unique_ptr<EmulatedEngine>& engine : m_fleet.engines)
                    left += engine->entry().role == loss.role ? 1 : 0;
                left = rounded(loss.share * static_cast<double>(left));
                for (size_t index = 0; index < m_fleet.engines.size() && left > 0; ++index) {
                    if (m_fleet.engines[index]->entry().role != loss.role)
                        continue;
                    left -= 1;
                    lose(index, loss.span.length);
                }
            });
        }

        void lose(size_t index, Micros length)
        {
            EmulatedEngine& engine = *m_fleet.engines[index];
            const TargetId old = engine.entry().id;
            engine.crash();
            m_queue.after(EntryLifetime, [this, old] {
                for (const std::unique_ptr<EmulatedGateway>& gateway : m_gateways)
                    gateway->remove(old);
            });
            m_queue.after(length, [this, index] {
                EmulatedEngine& back = *m_fleet.engines[index];
                back.restart(entryOf(index).id);
                for (const std::unique_ptr<EmulatedGateway>& gateway : m_gateways)
                    gateway->put(back.entry());
            });
        }

        void schedule(const ColdStart& start)
        {
            m_queue.after(start.at, [this] {
                // Requests end with their gateways; callers come again.
                for (const auto& [index, leave] : std::exchange(m_leave, {})) {
                    leave();
                    comeAgain(index);
                }
                for (const std::unique_ptr<EmulatedEngine>& engine : m_fleet.engines)
                    engine->crash();
                m_queue.after(ColdStartTime, [this] {
                    for (size_t index = 0; index < m_fleet.engines.size(); ++index)
                        m_fleet.engines[index]->restart(entryOf(index).id);
                    for (const std::unique_ptr<EmulatedGateway>& gateway : m_gateways)
                        gateway->restart();
                });
            });
        }

        void attempt(size_t index, uint32_t attemptsLeft)
        {
            const Arrival& arrival = m_arrivals[index];
            const RequestKind& kind = m_pattern.kinds[arrival.kind];
            const Micros left = arrival.at + kind.objective - m_queue.now();
            m_attemptsLeft[index] = attemptsLeft - 1;
            std::uniform_int_distribution<size_t> place(0, m_gateways.size() - 1);
            EmulatedGateway& gateway = *m_gateways[place(m_random)];
            const uint64_t number = ++m_lastAttempt;
            m_current[index] = number;
            std::function<void()> leave = gateway.submit(
                arrival, kind, left,
                [this, index] {
                    if (!m_results[index].firstToken)
                        m_results[index].firstToken = m_queue.now() - m_arrivals[index].at;
                },
                [this, index](bool isServed) { onEnded(index, isServed); });
            if (m_current[index] != number)
                return;
            m_leave[index] = leave;
            m_queue.after(arrival.patience, [this, index, number] {
                const auto found = m_leave.find(index);
                if (found == m_leave.end() || m_current[index] != number
                    || m_results[index].firstToken)
                    return;
                const std::function<void()> leaveNow = found->second;
                m_leave.erase(found);
                leaveNow();
            });
        }

        void onEnded(size_t index, bool isServed)
        {
            m_current[index] = 0;
            m_leave.erase(index);
            if (isServed)
                m_results[index].isServed = true;
            else
                comeAgain(index);
        }

        void comeAgain(size_t index)
        {
            m_results[index].firstToken.reset();
            const uint32_t left = m_attemptsLeft[index];
            if (left > 0)
                m_queue.after(CallerPause, [this, index, left] { attempt(index, left); });
        }

        Outcome outcome()
        {
            Outcome outcome;
            double readSpeed = 0;
            Micros busy { 0 };
            size_t readers = 0;
            for (size_t index = 0; index < m_fleet.engines.size(); ++index) {
                const EmulatedEngine& engine = *m_fleet.engines[index];
                outcome.tokensRead += engine.tokensRead();
                outcome.tokensFetched += engine.tokensFetched();
                if (engine.entry().role != EngineRole::Prefill)
                    continue;
                readSpeed += m_site.engine.readTokensPerMs / slownessOf(index);
                busy += engine.busyTime();
                readers += 1;
            }
            outcome.busyShare = static_cast<double>(busy.count())
                / (static_cast<double>(readers)
                    * static_cast<double>(Micros(m_pattern.length).count()));
            outcome.bound = worthBound(m_arrivals, m_pattern, readSpeed);
            addKinds(outcome);
            addWindows(outcome);
            return outcome;
        }

        double earned(size_t index) const
        {
            const Arrival& arrival = m_arrivals[index];
            const Result& result = m_results[index];
            if (!result.isServed || !result.firstToken)
                return 0;
            const bool isOnTime = *result.firstToken <= m_pattern.kinds[arrival.kind].objective;
            return isOnTime ? arrival.worth : arrival.lateWorth;
        }

        void addKinds(Outcome& outcome) const
        {
            double owedByAll = 0;
            double earnedByAll = 0;
            for (size_t kind = 0; kind < m_pattern.kinds.size(); ++kind) {
                KindOutcome each;
                each.name = m_pattern.kinds[kind].name;
                double owed = 0;
                double got = 0;
                std::vector<Micros> times;
                for (size_t index = 0; index < m_arrivals.size(); ++index) {
                    if (m_arrivals[index].kind != kind)
                        continue;
                    each.sent += 1;
                    owed += m_arrivals[index].worth;
                    got += earned(index);
                    const Result& result = m_results[index];
                    if (!result.isServed || !result.firstToken) {
                        each.lost += 1;
                        continue;
                    }
                    times.push_back(*result.firstToken);
                    (*result.firstToken <= m_pattern.kinds[kind].objective ? each.onTime
                                                                           : each.late)
                        += 1;
                }
                std::sort(times.begin(), times.end());
                if (!times.empty()) {
                    each.p50 = std::chrono::duration_cast<Milliseconds>(times[times.size() / 2]);
                    each.p95
                        = std::chrono::duration_cast<Milliseconds>(times[times.size() * 95 / 100]);
                }
                each.worthShare = owed > 0 ? got / owed : 1;
                owedByAll += owed;
                earnedByAll += got;
                outcome.kinds.push_back(each);
            }
            outcome.worth = owedByAll > 0 ? earnedByAll / owedByAll : 1;
        }

        void addWindows(Outcome& outcome) const
        {
            std::map<int64_t, std::pair<double, double>> windows;
            for (size_t index = 0; index < m_arrivals.size(); ++index) {
                std::pair<double, double>& window = windows[m_arrivals[index].at / Window];
                window.first += earned(index);
                window.second += m_arrivals[index].worth;
            }
            std::vector<double> shares;
            shares.reserve(windows.size());
            for (const auto& [number, window] : windows)
                shares.push_back(window.first / window.second);
            std::sort(shares.begin(), shares.end());
            if (shares.size() > 1)
                outcome.worstWindows = (shares[0] + shares[1]) / 2;
        }

        Site m_site;
        LoadPattern m_pattern;
        EventQueue m_queue;
        Fleet m_fleet;
        std::vector<std::unique_ptr<EmulatedGateway>> m_gateways;
        std::vector<Arrival> m_arrivals;
        std::vector<Result> m_results;
        std::mt19937_64 m_random;
        uint64_t m_lives = 0;
        uint64_t m_lastAttempt = 0;
        /** The running attempt of each request. */
        std::map<size_t, uint64_t> m_current;
        std::map<size_t, std::function<void()>> m_leave;
        std::map<size_t, uint32_t> m_attemptsLeft;
    };

    struct PolicyName {
        std::string_view operator()(const ExpectedFinish&) const { return "expected_finish"; }
        std::string_view operator()(const RoundRobin&) const { return "round_robin"; }
        std::string_view operator()(const LeastOutstanding&) const { return "least_outstanding"; }
        std::string_view operator()(const TwoChoices&) const { return "two_choices"; }
        std::string_view operator()(const HashedHomes&) const { return "hashed_homes"; }
    };

} // namespace

std::string_view nameOf(const Policy& policy) { return std::visit(PolicyName {}, policy); }

Outcome play(const Site& site, const LoadPattern& pattern, const Policy& policy, uint64_t seed)
{
    return Play(site, pattern, policy, seed).run();
}

} // namespace citronspoke::emulator
