#include "CrashModel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronspoke::quarantine::tests {

namespace {

    constexpr Milliseconds Length { 30000 };
    /** Nothing breaks in the last part of a run, so that what its end shows lasts. */
    constexpr Milliseconds SettlingTime { 2000 };
    /** From the sending of a run to the head of its response, its first event and its end. */
    constexpr Milliseconds HeadTime { 22 };
    constexpr Milliseconds FirstEventTime { 45 };
    constexpr Milliseconds RunTime { 400 };
    /** From the sending of a run with a crashing part to the crash. */
    constexpr Milliseconds CrashTime { 90 };
    constexpr Milliseconds RestartTime { 4000 };
    constexpr Milliseconds LossInterval { 5000 };
    constexpr Milliseconds ResetInterval { 700 };
    constexpr Milliseconds ResendInterval { 500 };
    /** A response within this time of a crash shows that the engine has not crashed. */
    constexpr Milliseconds ShortestRestart { 1000 };
    constexpr size_t AttemptsPerRequest = 3;
    constexpr size_t AllowedCrashes = 5;

    const PromptPartId CommonPart("c0");

    PromptPartId soundPart(size_t number) { return PromptPartId("s" + std::to_string(number)); }
    PromptPartId crashingPart(size_t number) { return PromptPartId("b" + std::to_string(number)); }

    class Model {
    public:
        Model(const CrashPattern& pattern, uint64_t seed)
            : m_pattern(pattern)
            , m_random(seed)
            , m_gateways(pattern.gateways)
            , m_engines(pattern.engines)
        {
        }

        CrashOutcome play()
        {
            arrive();
            resend();
            if (m_pattern.lossShare > 0)
                after(LossInterval, [this] { loseEngines(); });
            if (m_pattern.resetShare > 0)
                after(ResetInterval, [this] { resetRuns(); });
            if (m_pattern.killAt)
                after(*m_pattern.killAt, [this] { killGateways(); });
            while (!m_queue.empty() && m_queue.begin()->first <= Start + Length) {
                const auto next = m_queue.extract(m_queue.begin());
                m_now = next.key();
                next.mapped()();
            }
            for (size_t number = 0; number < m_pattern.soundParts; ++number) {
                const std::vector<PromptPartId> prompt { CommonPart, soundPart(number) };
                for (const Gateway& gateway : m_gateways) {
                    if (const std::optional<PromptPartId> part = gateway.parts.findBlocking(prompt))
                        m_outcome.soundPartsRefused.insert(*part);
                }
            }
            return m_outcome;
        }

    private:
        static constexpr SteadyTime Start { std::chrono::hours(1) };

        struct Request {
            std::vector<PromptPartId> parts;
            std::optional<PromptPartId> crashing;
            size_t attempts = 0;
        };
        using RequestPointer = std::shared_ptr<Request>;
        struct Run {
            RequestPointer request;
            size_t gateway = 0;
            bool hasEvent = false;
            bool isOver = false;
        };
        using RunPointer = std::shared_ptr<Run>;
        struct Engine {
            int64_t incarnation = 1;
            bool isUp = true;
            std::vector<RunPointer> runs;
        };
        struct Gateway {
            CrashingParts parts;
            std::set<PromptPartId> reportedOnce;
            std::map<CrashKey, SteadyTime> recentCrashes;
        };

        void after(Milliseconds delay, std::function<void()> action)
        {
            m_queue.emplace(m_now + delay, std::move(action));
        }
        double fraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
        size_t index(size_t count)
        {
            return std::uniform_int_distribution<size_t>(0, count - 1)(m_random);
        }
        CrashKey crashKey(size_t engine) const
        {
            constexpr int64_t IncarnationsPerEngine = 1000;
            return CrashKey(static_cast<int64_t>(engine) * IncarnationsPerEngine
                + m_engines[engine].incarnation);
        }

        void arrive()
        {
            const RequestPointer request = std::make_shared<Request>();
            const PromptPartId sound = soundPart(index(m_pattern.soundParts));
            if (fraction() < m_pattern.crashingShare) {
                request->crashing = crashingPart(index(m_pattern.crashingParts));
                request->parts = m_pattern.isCrashingPartFirst
                    ? std::vector<PromptPartId> { *request->crashing, sound }
                    : std::vector<PromptPartId> { CommonPart, *request->crashing };
            } else {
                request->parts = { CommonPart, sound };
                m_outcome.soundRequests += 1;
            }
            send(request, index(m_gateways.size()));
            constexpr double MsPerSecond = 1000;
            const double gap = std::exponential_distribution<double>(
                m_pattern.requestsPerSecond / MsPerSecond)(m_random);
            after(Milliseconds(std::lround(gap)), [this] { arrive(); });
        }

        void send(const RequestPointer& request, size_t gateway)
        {
            if (m_gateways[gateway].parts.findBlocking(request->parts)) {
                m_outcome.soundRefusals += request->crashing ? 0 : 1;
                return;
            }
            std::vector<size_t> up;
            for (size_t engine = 0; engine < m_engines.size(); ++engine) {
                if (m_engines[engine].isUp)
                    up.push_back(engine);
            }
            if (up.empty() || ++request->attempts > AttemptsPerRequest)
                return;
            const size_t engine = up[index(up.size())];
            const RunPointer run = std::make_shared<Run>(Run { request, gateway });
            m_engines[engine].runs.push_back(run);
            if (request->crashing) {
                countLateSend(*request->crashing);
                const int64_t incarnation = m_engines[engine].incarnation;
                after(CrashTime, [this, engine, incarnation, run] {
                    if (!run->isOver && m_engines[engine].incarnation == incarnation) {
                        m_outcome.crashes[*run->request->crashing] += 1;
                        m_crashTimes[*run->request->crashing].push_back(m_now);
                        crash(engine);
                    }
                });
            }
            const SteadyTime sentAt = m_now;
            after(HeadTime, [this, run, engine, sentAt] { onHead(*run, engine, sentAt); });
            if (!request->crashing)
                after(FirstEventTime, [this, run] { onFirstEvent(*run); });
            after(RunTime, [run] { run->isOver = true; });
        }

        void countLateSend(const PromptPartId& part)
        {
            const std::vector<SteadyTime>& times = m_crashTimes[part];
            if (times.size() >= AllowedCrashes && m_now > times[AllowedCrashes - 1] + ContactTime)
                m_outcome.lateSends[part] += 1;
        }

        void onHead(const Run& run, size_t engine, SteadyTime sentAt)
        {
            if (run.isOver)
                return;
            Gateway& gateway = m_gateways[run.gateway];
            const auto recent = gateway.recentCrashes.find(crashKey(engine));
            if (recent == gateway.recentCrashes.end() || sentAt < recent->second
                || m_now - recent->second > ShortestRestart)
                return;
            const CrashKey crash = recent->first;
            gateway.recentCrashes.erase(recent);
            if (gateway.parts.withdraw(crash, m_now))
                publish(run.gateway,
                    [crash, this](Gateway& other, size_t) { other.parts.withdraw(crash, m_now); });
        }

        void onFirstEvent(Run& run)
        {
            if (run.isOver)
                return;
            run.hasEvent = true;
            Gateway& gateway = m_gateways[run.gateway];
            const CrashingParts::ServedOutcome outcome
                = gateway.parts.noteServed(run.request->parts, m_now);
            for (const PromptPartId& part : outcome.cleared)
                publishServed(run.gateway, part);
            for (const PromptPartId& part : outcome.quarantined)
                publishReport(run.gateway, part);
        }

        void publishServed(size_t sender, const PromptPartId& part)
        {
            publish(sender, [this, part](Gateway& other, size_t) {
                other.parts.noteServedElsewhere(part, m_now);
            });
        }

        void publishReport(
            size_t sender, const PromptPartId& part, std::optional<CrashKey> latest = {})
        {
            PartCrashReport report = m_gateways[sender].parts.reportOf(part);
            report.latest = latest;
            publish(sender, [this, report](Gateway& other, size_t number) {
                if (other.parts.merge(report, m_now))
                    publishServed(number, report.part);
                if (report.latest)
                    other.recentCrashes.try_emplace(*report.latest, m_now);
            });
        }

        void publish(size_t sender, const std::function<void(Gateway&, size_t)>& receive)
        {
            for (size_t number = 0; number < m_gateways.size(); ++number) {
                if (number != sender && fraction() >= m_pattern.lostReports)
                    after(m_pattern.reportDelay,
                        [this, receive, number] { receive(m_gateways[number], number); });
            }
        }

        void breakRun(Run& run, CrashKey crash)
        {
            if (std::exchange(run.isOver, true) || run.hasEvent)
                return;
            Gateway& gateway = m_gateways[run.gateway];
            for (const PromptPartId& part :
                gateway.parts.noteCrash(crash, run.request->parts, m_now)) {
                gateway.recentCrashes.try_emplace(crash, m_now);
                gateway.reportedOnce.insert(part);
                publishReport(run.gateway, part, crash);
            }
            send(run.request, run.gateway);
        }

        void crash(size_t engine)
        {
            Engine& crashed = m_engines[engine];
            const CrashKey key = crashKey(engine);
            crashed.isUp = false;
            const std::vector<RunPointer> runs = std::exchange(crashed.runs, {});
            for (const RunPointer& run : runs)
                breakRun(*run, key);
            crashed.incarnation += 1;
            after(RestartTime, [&crashed] { crashed.isUp = true; });
        }

        void loseEngines()
        {
            for (size_t engine = 0; engine < m_engines.size(); ++engine) {
                if (m_engines[engine].isUp && fraction() < m_pattern.lossShare)
                    crash(engine);
            }
            if (!isSettling())
                after(LossInterval, [this] { loseEngines(); });
        }

        void resetRuns()
        {
            for (size_t engine = 0; engine < m_engines.size(); ++engine) {
                const std::vector<RunPointer> runs = m_engines[engine].runs;
                for (const RunPointer& run : runs) {
                    if (fraction() < m_pattern.resetShare)
                        breakRun(*run, crashKey(engine));
                }
            }
            if (!isSettling())
                after(ResetInterval, [this] { resetRuns(); });
        }

        bool isSettling() const
        {
            return m_now + std::max(LossInterval, ResetInterval) > Start + Length - SettlingTime;
        }

        void resend()
        {
            for (size_t number = 0; number < m_gateways.size(); ++number) {
                std::set<PromptPartId> parts = std::exchange(m_gateways[number].reportedOnce, {});
                for (const auto& [part, state] : m_gateways[number].parts.quarantined())
                    parts.insert(part);
                for (const PromptPartId& part : parts)
                    publishReport(number, part);
            }
            after(ResendInterval, [this] { resend(); });
        }

        void killGateways()
        {
            const std::map<PromptPartId, QuarantinedPart> record
                = m_gateways.front().parts.quarantined();
            for (Gateway& gateway : m_gateways) {
                gateway = {};
                for (const auto& [part, state] : record)
                    gateway.parts.merge(
                        { part, { state.crashes.begin(), state.crashes.end() }, true, {} }, m_now);
            }
        }

        CrashPattern m_pattern;
        std::mt19937_64 m_random;
        SteadyTime m_now = Start;
        std::multimap<SteadyTime, std::function<void()>> m_queue;
        std::vector<Gateway> m_gateways;
        std::vector<Engine> m_engines;
        std::map<PromptPartId, std::vector<SteadyTime>> m_crashTimes;
        CrashOutcome m_outcome;
    };

} // namespace

CrashOutcome simulate(const CrashPattern& pattern, uint64_t seed)
{
    return Model(pattern, seed).play();
}

} // namespace citronspoke::quarantine::tests
