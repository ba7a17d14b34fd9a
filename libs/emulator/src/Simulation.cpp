#include "EmulatedGateway.h"

#include <algorithm>
#include <cmath>

namespace citronspoke::emulator {

namespace {

    /** The record of a crashed engine expires after three missed heartbeats. */
    constexpr Milliseconds RecordLifetime { 3600 };
    constexpr Milliseconds LoadPublishInterval { 500 };
    /** Delay of a caller between a failed attempt and the next one. */
    constexpr Milliseconds CallerRetryDelay { 250 };
    constexpr Milliseconds RestartDelay { 300 };

    size_t rounded(double count) { return static_cast<size_t>(std::lround(count)); }

    /** The result of one arrival over all its attempts. */
    struct RequestResult {
        /** Time from the arrival to the first token. */
        std::optional<Micros> firstToken;
        bool isServed = false;
    };

    /** One simulation run. */
    class Simulation {
    public:
        Simulation(
            const Site& site, const LoadPattern& pattern, const Policy& policy, uint64_t seed)
            : m_site(site)
            , m_pattern(pattern)
            , m_fleet { m_queue, m_site, policy, {}, std::mt19937_64(seed), {}, {} }
            , m_arrivals(generateArrivals(pattern, seed))
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
                m_queue.after(m_arrivals[index].at,
                    [this, index] { startAttempt(index, m_pattern.attempts); });
            republishLoads();
            constexpr Milliseconds DrainTime { 10000 };
            m_queue.runUntil(m_pattern.length + DrainTime);
            return outcome();
        }

    private:
        fleet::TargetRecord makeRecord(size_t index)
        {
            fleet::TargetRecord record;
            record.id = TargetId(
                "e" + std::to_string(index) + "." + std::to_string(++m_lastRegistration));
            record.pool = EnginePool;
            record.address = { "10.0.0." + std::to_string(index), 1 };
            record.zone = ZoneId("zone-" + std::to_string(index % m_site.zones));
            record.slots = m_site.engine.slots;
            record.role = index < m_site.decodeEngines ? EngineRole::Decode : EngineRole::Prefill;
            record.registration = { 0, static_cast<int64_t>(m_lastRegistration) };
            return record;
        }

        double slowdownOf(size_t index) const
        {
            return m_site.slowdowns[index / m_site.zones % m_site.slowdowns.size()];
        }

        void addEngines()
        {
            for (size_t index = 0; index < m_site.engines; ++index)
                m_fleet.engines.push_back(std::make_unique<EmulatedEngine>(
                    m_queue, m_site.engine, makeRecord(index), slowdownOf(index)));
        }

        void addGateways()
        {
            for (size_t index = 0; index < m_site.gateways; ++index) {
                m_gateways.push_back(
                    std::make_unique<EmulatedGateway>(m_fleet, EntryId("g" + std::to_string(index)),
                        ZoneId("zone-" + std::to_string(index % m_site.zones))));
                m_gateways.back()->restart();
            }
            m_fleet.publishLoad
                = [this](const EntryId& from, const TargetId& engine, const dispatch::Load& load) {
                      sendToPeers(
                          from, [=](EmulatedGateway& to) { to.notePeerLoad(from, engine, load); });
                  };
            m_fleet.publishCachedParts = [this](const EntryId& from, const TargetId& engine,
                                             const std::vector<fleet::PromptPart>& parts) {
                sendToPeers(from, [=](EmulatedGateway& to) { to.noteCachedParts(engine, parts); });
            };
        }

        void sendToPeers(const EntryId& from, const std::function<void(EmulatedGateway&)>& deliver)
        {
            for (const std::unique_ptr<EmulatedGateway>& gateway : m_gateways) {
                if (gateway->id() != from)
                    m_queue.after(
                        m_site.peerDelay, [deliver, to = gateway.get()] { deliver(*to); });
            }
        }

        void republishLoads()
        {
            for (const std::unique_ptr<EmulatedGateway>& gateway : m_gateways)
                gateway->republishLoads();
            m_queue.after(LoadPublishInterval, [this] { republishLoads(); });
        }

        void schedule(const Burst&) { }
        void schedule(const LeavingCallers&) { }

        void schedule(const SlowLinks& slow)
        {
            const size_t count = rounded(slow.share * static_cast<double>(m_fleet.engines.size()));
            const auto set = [this, count](double factor) {
                // Spread over the engines, so that both roles are affected.
                for (size_t number = 0; number < count; ++number)
                    m_fleet.engines[number * m_fleet.engines.size() / count]->setLinkSlowdown(
                        factor);
            };
            m_queue.after(slow.span.from, [set, factor = slow.factor] { set(factor); });
            m_queue.after(slow.span.from + slow.span.length, [set] { set(1); });
        }

        void schedule(const EngineLoss& loss)
        {
            m_queue.after(loss.span.from, [this, loss] {
                size_t remaining = 0;
                for (const std::unique_ptr<EmulatedEngine>& engine : m_fleet.engines)
                    remaining += engine->record().role == loss.role ? 1 : 0;
                remaining = rounded(loss.share * static_cast<double>(remaining));
                for (size_t index = 0; index < m_fleet.engines.size() && remaining > 0; ++index) {
                    if (m_fleet.engines[index]->record().role != loss.role)
                        continue;
                    remaining -= 1;
                    crashEngine(index, loss.span.length);
                }
            });
        }

        void crashEngine(size_t index, Micros length)
        {
            EmulatedEngine& engine = *m_fleet.engines[index];
            const TargetId old = engine.record().id;
            engine.crash();
            m_queue.after(RecordLifetime, [this, old] {
                for (const std::unique_ptr<EmulatedGateway>& gateway : m_gateways)
                    gateway->remove(old);
            });
            m_queue.after(length, [this, index] {
                EmulatedEngine& back = *m_fleet.engines[index];
                back.restart(makeRecord(index).id);
                for (const std::unique_ptr<EmulatedGateway>& gateway : m_gateways)
                    gateway->put(back.record());
            });
        }

        void schedule(const ColdStart& start)
        {
            m_queue.after(start.at, [this] {
                // The restart of the gateways ends all requests; their callers retry.
                for (const auto& [index, cancel] : std::exchange(m_cancel, {})) {
                    cancel();
                    retryLater(index);
                }
                for (const std::unique_ptr<EmulatedEngine>& engine : m_fleet.engines)
                    engine->crash();
                m_queue.after(RestartDelay, [this] {
                    for (size_t index = 0; index < m_fleet.engines.size(); ++index)
                        m_fleet.engines[index]->restart(makeRecord(index).id);
                    for (const std::unique_ptr<EmulatedGateway>& gateway : m_gateways)
                        gateway->restart();
                });
            });
        }

        void startAttempt(size_t index, uint32_t attemptsLeft)
        {
            const Arrival& arrival = m_arrivals[index];
            const RequestKind& kind = m_pattern.kinds[arrival.kind];
            const Micros timeLeft = arrival.at + kind.objective - m_queue.now();
            m_attemptsLeft[index] = attemptsLeft - 1;
            std::uniform_int_distribution<size_t> pick(0, m_gateways.size() - 1);
            EmulatedGateway& gateway = *m_gateways[pick(m_random)];
            const uint64_t number = ++m_lastAttempt;
            m_currentAttempt[index] = number;
            std::function<void()> cancel = gateway.submit(
                arrival, kind, timeLeft,
                [this, index] {
                    if (!m_results[index].firstToken)
                        m_results[index].firstToken = m_queue.now() - m_arrivals[index].at;
                },
                [this, index](bool isServed) { onEnded(index, isServed); });
            if (m_currentAttempt[index] != number)
                return;
            m_cancel[index] = cancel;
            m_queue.after(arrival.patience, [this, index, number] {
                const auto found = m_cancel.find(index);
                if (found == m_cancel.end() || m_currentAttempt[index] != number
                    || m_results[index].firstToken)
                    return;
                const std::function<void()> cancelNow = found->second;
                m_cancel.erase(found);
                cancelNow();
            });
        }

        void onEnded(size_t index, bool isServed)
        {
            m_currentAttempt[index] = 0;
            m_cancel.erase(index);
            if (isServed)
                m_results[index].isServed = true;
            else
                retryLater(index);
        }

        void retryLater(size_t index)
        {
            m_results[index].firstToken.reset();
            const uint32_t attemptsLeft = m_attemptsLeft[index];
            if (attemptsLeft > 0)
                m_queue.after(CallerRetryDelay,
                    [this, index, attemptsLeft] { startAttempt(index, attemptsLeft); });
        }

        Outcome outcome()
        {
            Outcome outcome;
            double prefillTokensPerMs = 0;
            Micros busy { 0 };
            size_t prefillEngines = 0;
            for (size_t index = 0; index < m_fleet.engines.size(); ++index) {
                const EmulatedEngine& engine = *m_fleet.engines[index];
                outcome.tokensPrefilled += engine.tokensPrefilled();
                outcome.tokensFetched += engine.tokensFetched();
                if (engine.record().role != EngineRole::Prefill)
                    continue;
                prefillTokensPerMs += m_site.engine.prefillTokensPerMs / slowdownOf(index);
                busy += engine.busyTime();
                prefillEngines += 1;
            }
            outcome.busyShare = static_cast<double>(busy.count())
                / (static_cast<double>(prefillEngines)
                    * static_cast<double>(Micros(m_pattern.length).count()));
            outcome.bound = worthBound(m_arrivals, m_pattern, prefillTokensPerMs);
            addKindOutcomes(outcome);
            addWorstWindows(outcome);
            return outcome;
        }

        double earnedWorth(size_t index) const
        {
            const Arrival& arrival = m_arrivals[index];
            const RequestResult& result = m_results[index];
            if (!result.isServed || !result.firstToken)
                return 0;
            const bool isOnTime = *result.firstToken <= m_pattern.kinds[arrival.kind].objective;
            return isOnTime ? arrival.worth : arrival.lateWorth;
        }

        void addKindOutcomes(Outcome& outcome) const
        {
            double offeredByAll = 0;
            double earnedByAll = 0;
            for (size_t kind = 0; kind < m_pattern.kinds.size(); ++kind) {
                KindOutcome each;
                each.name = m_pattern.kinds[kind].name;
                double offered = 0;
                double earned = 0;
                std::vector<Micros> times;
                for (size_t index = 0; index < m_arrivals.size(); ++index) {
                    if (m_arrivals[index].kind != kind)
                        continue;
                    each.sent += 1;
                    offered += m_arrivals[index].worth;
                    earned += earnedWorth(index);
                    const RequestResult& result = m_results[index];
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
                each.worthShare = offered > 0 ? earned / offered : 1;
                offeredByAll += offered;
                earnedByAll += earned;
                outcome.kinds.push_back(each);
            }
            outcome.worth = offeredByAll > 0 ? earnedByAll / offeredByAll : 1;
        }

        void addWorstWindows(Outcome& outcome) const
        {
            std::map<int64_t, std::pair<double, double>> windows;
            for (size_t index = 0; index < m_arrivals.size(); ++index) {
                std::pair<double, double>& window = windows[m_arrivals[index].at / WorthWindow];
                window.first += earnedWorth(index);
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
        EmulatedFleet m_fleet;
        std::vector<std::unique_ptr<EmulatedGateway>> m_gateways;
        std::vector<Arrival> m_arrivals;
        std::vector<RequestResult> m_results;
        std::mt19937_64 m_random;
        uint64_t m_lastRegistration = 0;
        uint64_t m_lastAttempt = 0;
        /** The number of the running attempt of each request; 0 when none runs. */
        std::map<size_t, uint64_t> m_currentAttempt;
        std::map<size_t, std::function<void()>> m_cancel;
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

Outcome simulate(const Site& site, const LoadPattern& pattern, const Policy& policy, uint64_t seed)
{
    return Simulation(site, pattern, policy, seed).run();
}

} // namespace citronspoke::emulator
