#include "ShareSimulation.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace citronspoke::shares::tests {

namespace {

    constexpr SteadyTime Start { std::chrono::hours(1) };
    constexpr Milliseconds UpdateInterval { 100 };
    constexpr Milliseconds RepeatInterval { 20 };
    constexpr uint32_t Zones = 3;
    constexpr size_t LateLevel = 9;
    constexpr size_t Levels = 10;

    struct Gateway {
        Gateway(const EntryId& id, const PoolId& pool)
            : exchange(id, pool)
        {
        }
        EngineTimeUse use;
        FairShares shares;
        Admission admission;
        UseExchange exchange;
        bool isRunning = true;
    };

    struct Request {
        uint64_t id = 0;
        size_t organisation = 0;
        size_t kind = 0;
        size_t gateway = 0;
        Milliseconds arrival { 0 };
        Milliseconds deadline { 0 };
        size_t attempts = 0;
    };

    struct Waiting {
        Request request;
        Milliseconds engineTime { 0 };
        Milliseconds expectedWait { 0 };
        Milliseconds admittedAt { 0 };
        bool isOverShare = false;
    };

    OrganisationId name(size_t organisation)
    {
        return OrganisationId("organisation-" + std::to_string(organisation));
    }

    class Simulation {
    public:
        explicit Simulation(const Pattern& pattern)
            : m_pattern(pattern)
            , m_random(pattern.seed)
            , m_engines(pattern.engines, Milliseconds(0))
            , m_pickOrganisation(pattern.weights.begin(), pattern.weights.end())
        {
            for (size_t index = 0; index < pattern.gateways; ++index) {
                m_ids.emplace_back("gateway-" + std::to_string(index));
                m_gateways.push_back(std::make_unique<Gateway>(m_ids.back(), m_pool));
            }
            for (const std::unique_ptr<Gateway>& gateway : m_gateways)
                gateway->exchange.updateGateways(m_ids);
            for (const Kind& kind : pattern.kinds)
                m_leastUrgent = std::max(m_leastUrgent, kind.priority);
            m_result.byOrganisation.resize(pattern.weights.size());
            m_result.byKind.resize(pattern.kinds.size());
            const size_t windows = static_cast<size_t>(pattern.duration / UseWindow);
            m_result.windows.resize(windows);
            for (WindowResult& window : m_result.windows) {
                window.wanted.resize(pattern.weights.size());
                window.urgent.resize(pattern.weights.size());
                window.served.resize(pattern.weights.size());
            }
        }

        Result run()
        {
            for (m_now = Milliseconds(0); m_now < m_pattern.duration; m_now += Milliseconds(1)) {
                if (m_now == Milliseconds(12000))
                    endGateways();
                addArrivals();
                addReturns();
                startWork();
                reportAndUpdate();
            }
            m_result.utilisation
                = m_busy / (static_cast<double>(m_pattern.duration.count()) * m_pattern.engines);
            return std::move(m_result);
        }

    private:
        SteadyTime time() const { return Start + m_now; }
        double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

        void endGateways()
        {
            for (size_t index = m_pattern.lastingGateways; index < m_gateways.size(); ++index)
                m_gateways[index]->isRunning = false;
        }

        void addArrivals()
        {
            for (size_t kind = 0; kind < m_pattern.kinds.size(); ++kind) {
                for (size_t zone = 0; zone < Zones; ++zone) {
                    const double rate = m_pattern.kinds[kind].perSecond / Zones
                        * m_pattern.factor(kind, zone, m_now);
                    const int count = std::poisson_distribution<int>(rate / 1000)(m_random);
                    for (int index = 0; index < count; ++index)
                        arrive(kind, zone);
                }
            }
        }

        size_t pickGateway(size_t zone)
        {
            const size_t count = std::min(m_pattern.gateways,
                m_now >= Milliseconds(12000) ? m_pattern.lastingGateways : m_pattern.gateways);
            const size_t inZone = std::max<size_t>(1, (count - zone + Zones - 1) / Zones);
            return std::min(zone + Zones * (m_random() % inZone), count - 1);
        }

        void arrive(size_t kind, size_t zone)
        {
            Request request { ++m_lastId, m_pickOrganisation(m_random), kind, pickGateway(zone),
                m_now, m_now + m_pattern.kinds[kind].timeLimit, 0 };
            // Requests near the end of the run are not counted, because they may still be waiting.
            if (WindowResult* window = windowOf(request)) {
                window->wanted[request.organisation]
                    += static_cast<double>(m_pattern.kinds[kind].engineTime.count());
                m_result.byOrganisation[request.organisation].arrived += 1;
                m_result.byKind[kind].arrived += 1;
                m_result.all.arrived += 1;
            }
            handle(request);
        }

        /** @return null for requests of the first window, in which no shares are known yet, and
         * those that may still be waiting when the run ends. */
        WindowResult* windowOf(const Request& request)
        {
            const size_t index = static_cast<size_t>(request.arrival / UseWindow);
            return index == 0 || index + 2 > m_result.windows.size() ? nullptr
                                                                     : &m_result.windows[index];
        }

        Milliseconds backlog(size_t level) const
        {
            Milliseconds sum { 0 };
            for (size_t index = 0; index <= level; ++index)
                sum += m_waitingTime[index];
            Milliseconds free = m_pattern.duration;
            for (const Milliseconds freeAt : m_engines)
                free = std::min(free, std::max(Milliseconds(0), freeAt - m_now));
            return sum / m_pattern.engines + free;
        }

        static size_t levelOf(const Kind& kind, Milliseconds objectiveLeft, bool isShort,
            bool isOver, bool isReturning)
        {
            size_t sizeClass = kind.engineTime <= objectiveLeft / 8 ? 0
                : kind.engineTime <= objectiveLeft / 3              ? 1
                                                                    : 2;
            if (isShort)
                sizeClass = isOver ? 2 : isReturning ? 0 : std::min<size_t>(sizeClass, 1);
            return size_t { kind.priority } * 3 + sizeClass;
        }

        void handle(Request request)
        {
            Gateway& gateway = *m_gateways[request.gateway];
            if (!gateway.isRunning)
                request.gateway = pickGateway(0);
            Gateway& used = *m_gateways[request.gateway];
            const Kind& kind = m_pattern.kinds[request.kind];
            const OrganisationId organisation = name(request.organisation);
            const double engineTime = static_cast<double>(kind.engineTime.count());
            used.use.noteWanted(organisation, engineTime, time());
            const PoolState state = poolState();
            used.shares.noteState(state, time());
            const bool isShort = used.shares.isShort(time());
            const bool isOver = used.shares.classifyOver(organisation, engineTime, time());
            const Milliseconds objectiveLeft = kind.objective - (m_now - request.arrival);
            size_t level = levelOf(kind, objectiveLeft, isShort, isOver,
                used.admission.isReturning(request.id, time()));
            if ((backlog(level) + kind.engineTime) / 2 > objectiveLeft)
                level = LateLevel;
            const AdmissionRequest asked { request.id, kind.priority, backlog(level),
                kind.engineTime, request.deadline - m_now, isOver };
            const std::optional<Milliseconds> wait
                = used.admission.refusal(asked, state, m_pattern.engines, draw(), time());
            if (wait) {
                refuse(request, used, state, *wait);
                return;
            }
            used.use.noteUsed(organisation, engineTime, time());
            used.shares.noteUsed(organisation, engineTime);
            if (request.attempts > 0)
                m_result.returned += 1;
            m_queues[level].push_back({ request, kind.engineTime, asked.wait, m_now, isOver });
            m_waitingTime[level] += kind.engineTime;
        }

        PoolState poolState() const
        {
            uint32_t busy = 0;
            for (const Milliseconds freeAt : m_engines)
                busy += freeAt > m_now ? 1 : 0;
            return { m_pattern.engines, busy, backlog(LateLevel) };
        }

        void refuse(Request request, Gateway& gateway, const PoolState& state, Milliseconds wait)
        {
            gateway.shares.noteRefused(time());
            m_result.refused += 1;
            m_result.refusedWhileIdle += state.usedSlots * 2 <= state.slots ? 1 : 0;
            cr_assert_leq(wait.count(), (request.deadline - m_now).count() / 3);
            request.attempts += 1;
            const bool repeats = request.organisation < m_pattern.repeatingOrganisations;
            if (repeats)
                wait = RepeatInterval;
            else if (!m_pattern.callersReturn || request.attempts > 1)
                return;
            if (m_now + wait < request.deadline)
                m_returns.emplace(m_now + wait, request);
        }

        void addReturns()
        {
            while (!m_returns.empty() && m_returns.begin()->first <= m_now) {
                const Request request = m_returns.begin()->second;
                m_returns.erase(m_returns.begin());
                handle(request);
            }
        }

        void startWork()
        {
            for (Milliseconds& freeAt : m_engines) {
                if (freeAt > m_now)
                    continue;
                for (size_t level = 0; level < Levels && freeAt <= m_now; ++level)
                    startFrom(level, freeAt);
            }
        }

        void startFrom(size_t level, Milliseconds& freeAt)
        {
            while (!m_queues[level].empty() && freeAt <= m_now) {
                const Waiting waiting = m_queues[level].front();
                m_queues[level].pop_front();
                m_waitingTime[level] -= waiting.engineTime;
                const Request& request = waiting.request;
                Gateway& gateway = *m_gateways[request.gateway];
                gateway.admission.noteWaited(m_pattern.kinds[request.kind].priority,
                    waiting.isOverShare, waiting.expectedWait, m_now - waiting.admittedAt);
                if (m_now + waiting.engineTime > request.deadline) {
                    m_result.late += 1;
                    const double engineTime = static_cast<double>(waiting.engineTime.count());
                    gateway.use.noteNotRun(name(request.organisation), engineTime, time());
                    gateway.shares.noteUsed(name(request.organisation), -engineTime);
                    continue;
                }
                freeAt = m_now + waiting.engineTime;
                m_busy += static_cast<double>(waiting.engineTime.count());
                noteServed(request, waiting.engineTime);
            }
        }

        void noteServed(const Request& request, Milliseconds engineTime)
        {
            WindowResult* window = windowOf(request);
            if (!window)
                return;
            const double time = static_cast<double>(engineTime.count());
            window->served[request.organisation] += time;
            if (m_pattern.kinds[request.kind].priority < m_leastUrgent)
                window->urgent[request.organisation] += time;
            m_result.byOrganisation[request.organisation].served += 1;
            m_result.byKind[request.kind].served += 1;
            m_result.all.served += 1;
            m_result.returnedServed += request.attempts > 0 ? 1 : 0;
        }

        void reportAndUpdate()
        {
            for (size_t index = 0; index < m_gateways.size(); ++index) {
                Gateway& gateway = *m_gateways[index];
                // Gateways report at different moments.
                const Milliseconds phase = m_now + Milliseconds(37 * index);
                if (!gateway.isRunning)
                    continue;
                if (phase % UseReportInterval == Milliseconds(0)
                    && (gateway.shares.isShort(time())
                        || gateway.exchange.hasMemberReports(time())))
                    report(gateway);
                if (phase % UpdateInterval == Milliseconds(0))
                    gateway.shares.update(
                        gateway.exchange.total(gateway.use.summary(time()), time()),
                        m_pattern.engines, time());
            }
        }

        void report(Gateway& gateway)
        {
            for (const UseExchange::Outgoing& outgoing :
                gateway.exchange.takeReports(gateway.use.summary(time()), time())) {
                m_result.largestReport
                    = std::max(m_result.largestReport, outgoing.report.use.heaviest.size());
                for (const EntryId& recipient : outgoing.recipients) {
                    const auto found = std::find(m_ids.begin(), m_ids.end(), recipient);
                    Gateway& to = *m_gateways[static_cast<size_t>(found - m_ids.begin())];
                    if (to.isRunning && draw() >= m_pattern.lostReports)
                        to.exchange.onReport(outgoing.report, time());
                }
            }
        }

        const Pattern& m_pattern;
        uint32_t m_leastUrgent = 0;
        const PoolId m_pool { "pool" };
        std::mt19937_64 m_random;
        Milliseconds m_now { 0 };
        uint64_t m_lastId = 0;
        double m_busy = 0;
        std::vector<EntryId> m_ids;
        std::vector<std::unique_ptr<Gateway>> m_gateways;
        /** When each engine is free. */
        std::vector<Milliseconds> m_engines;
        std::array<std::deque<Waiting>, Levels> m_queues;
        std::array<Milliseconds, Levels> m_waitingTime {};
        std::multimap<Milliseconds, Request> m_returns;
        std::discrete_distribution<size_t> m_pickOrganisation;
        Result m_result;
    };

} // namespace

Result simulate(const Pattern& pattern) { return Simulation(pattern).run(); }

} // namespace citronspoke::shares::tests
