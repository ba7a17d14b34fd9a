#include "DutyModel.h"

#include <algorithm>

namespace citronspoke::duties::tests {

namespace {

    constexpr int Nobody = -1;

    /** A call to the store: sent, executed there, and its response not yet received. */
    struct PendingCall {
        bool isRenewal = false;
        int sentAt = 0;
        int64_t number = 0;
        bool isExecuted = false;
        bool isAccepted = false;
        int era = 0;
        auto operator<=>(const PendingCall&) const = default;
    };

    struct Process {
        DutyLease lease;
        bool isSuspended = false;
        int knownEra = 0;
        std::optional<PendingCall> call;
        std::optional<int> lastAct;
        auto operator<=>(const Process&) const = default;
    };

    struct Store {
        int era = 0;
        int holder = Nobody;
        /** Distinguishes the leases of one process. */
        int64_t lease = 0;
        int leaseEnd = 0;
        int64_t number = 0;
        auto operator<=>(const Store&) const = default;
    };

    struct World {
        int now = 0;
        Store store;
        std::optional<Store> copy;
        std::vector<Process> processes;
        int restores = 0;
        int suspensions = 0;
        int restarts = 0;
        int lateCalls = 0;
        int lastActor = Nobody;
        int64_t lastNumber = 0;
        auto operator<=>(const World&) const = default;
    };

    BootTime timeOf(int now) { return BootTime(Milliseconds(now)); }

    class Explorer {
    public:
        Explorer(const ModelLimits& limits, const DutyLease::Options& options)
            : m_limits(limits)
            , m_options(options)
        {
            World start;
            // All processes have run for longer than they wait after a start.
            const BootTime startedAt = timeOf(-8);
            for (int number = 0; number < limits.processes; ++number)
                start.processes.push_back({ DutyLease(options, startedAt), false, 0, {}, {} });
            visit(start);
        }

        ModelResult run()
        {
            while (!m_open.empty() && m_result.violation.empty()) {
                const World world = std::move(m_open.back());
                m_open.pop_back();
                advance(world);
                if (world.restores < m_limits.restores)
                    restore(world);
                for (int process = 0; process < m_limits.processes; ++process)
                    explore(world, process);
            }
            m_result.states = m_seen.size();
            return m_result;
        }

    private:
        void visit(const World& world)
        {
            int able = 0;
            for (const Process& process : world.processes)
                able += process.lease.mayAct(timeOf(world.now)) ? 1 : 0;
            if (able > 1)
                m_result.violation = "two processes may act at once";
            if (m_seen.insert(world).second)
                m_open.push_back(world);
        }

        void advance(World world)
        {
            if (world.now == m_limits.time)
                return;
            world.now += 1;
            if (world.store.holder != Nobody && world.now >= world.store.leaseEnd)
                world.store.holder = Nobody;
            for (Process& process : world.processes) {
                // The watch brings the number within one unit.
                if (!process.isSuspended && process.knownEra == world.store.era)
                    process.lease.noteFencingNumber(FencingNumber(world.store.number));
            }
            visit(world);
        }

        void restore(World world)
        {
            if (!world.copy) {
                // The copy that a later restore continues from.
                World copied = world;
                copied.copy = world.store;
                visit(copied);
            }
            const int era = world.store.era + 1;
            world.store = world.copy.value_or(Store {});
            world.store.era = era;
            world.store.leaseEnd = world.now + static_cast<int>(m_options.leaseTime.count());
            world.restores += 1;
            visit(world);
        }

        void explore(const World& world, int number)
        {
            const Process& process = world.processes[static_cast<size_t>(number)];
            if (process.call && !process.call->isExecuted)
                execute(world, number, false);
            if (process.isSuspended) {
                change(
                    world, number, [](World&, Process& resumed) { resumed.isSuspended = false; });
                return;
            }
            if (process.call && process.call->isExecuted)
                change(world, number, deliver);
            if (world.suspensions < m_limits.suspensions)
                change(world, number, [](World& next, Process& suspended) {
                    suspended.isSuspended = true;
                    next.suspensions += 1;
                });
            if (world.restarts < m_limits.restarts)
                change(world, number, [this](World& next, Process& restarted) {
                    restarted.lease = DutyLease(m_options, timeOf(next.now));
                    restarted.call.reset();
                    restarted.knownEra = next.store.era;
                    next.restarts += 1;
                });
            if (process.knownEra != world.store.era)
                change(world, number, noteEra);
            send(world, number);
            if (process.lease.mayAct(timeOf(world.now)))
                act(world, number);
        }

        template <typename Change> void change(World world, int number, const Change& apply)
        {
            apply(world, world.processes[static_cast<size_t>(number)]);
            visit(world);
        }

        static void noteEra(World& world, Process& process)
        {
            process.knownEra = world.store.era;
            process.call.reset();
            process.lease.noteRestored(timeOf(world.now));
        }

        static void deliver(World& world, Process& process)
        {
            const PendingCall call = *process.call;
            process.call.reset();
            if (call.era < process.knownEra)
                return;
            if (call.era > process.knownEra) {
                process.knownEra = call.era;
                process.lease.noteRestored(timeOf(world.now));
                return;
            }
            if (call.isRenewal && call.isAccepted)
                process.lease.noteRenewed(timeOf(call.sentAt));
            else if (call.isRenewal)
                process.lease.noteLost();
            else if (call.isAccepted)
                process.lease.noteAcquired(FencingNumber(call.number), timeOf(call.sentAt));
        }

        /** Sends a call, which is executed and responded to at once or later. */
        void send(World world, int number)
        {
            Process& process = world.processes[static_cast<size_t>(number)];
            const BootTime now = timeOf(world.now);
            const bool isRenewal = process.lease.isHeld();
            if (process.call || (!isRenewal && !process.lease.mayAcquire(now)))
                return;
            if (isRenewal && !process.lease.needsRenewal(now))
                return;
            // Estimates of true time differ, but by less than a process waits after a restore.
            // Where they differed by more, a holder that acquired, acted and lost its number to a
            // restore before any other process saw the number could have its number given out
            // again.
            const UnixMillis clock(world.now + m_limits.clockStep * number);
            process.call = PendingCall { isRenewal, world.now,
                isRenewal ? process.lease.fencingNumber().value()
                          : process.lease.nextFencingNumber(clock).value(),
                false, false, 0 };
            execute(world, number, true);
            if (world.lateCalls < m_limits.lateCalls) {
                world.lateCalls += 1;
                visit(world);
            }
        }

        void execute(World world, int number, bool isAtOnce)
        {
            Process& process = world.processes[static_cast<size_t>(number)];
            PendingCall& call = *process.call;
            Store& store = world.store;
            call.isExecuted = true;
            call.era = store.era;
            const int end = world.now + static_cast<int>(m_options.leaseTime.count());
            if (call.isRenewal) {
                call.isAccepted = store.holder == number && store.lease == call.number;
                if (call.isAccepted)
                    store.leaseEnd = end;
            } else {
                call.isAccepted = store.holder == Nobody && call.number > store.number;
                if (call.isAccepted)
                    // A lease that was granted before the late write ends sooner.
                    store = { store.era, number, call.number,
                        call.sentAt + static_cast<int>(m_options.leaseTime.count()), call.number };
                if (store.holder == number && world.now >= store.leaseEnd)
                    store.holder = Nobody;
            }
            const World executed = world;
            if (isAtOnce)
                change(executed, number, deliver);
            if (!isAtOnce || world.lateCalls < m_limits.lateCalls) {
                world.lateCalls += isAtOnce ? 1 : 0;
                visit(world);
            }
        }

        void act(World world, int number)
        {
            Process& process = world.processes[static_cast<size_t>(number)];
            const int64_t fence = process.lease.fencingNumber().value();
            const bool isOther = world.lastActor != number;
            if (fence < world.lastNumber)
                m_result.violation = "a lower fencing number follows a higher one";
            if (isOther && world.lastActor != Nobody && fence == world.lastNumber)
                m_result.violation = "two holders have one fencing number";
            if (isOther && process.lastAct
                && world.now - *process.lastAct < m_options.leaseTime.count())
                m_result.violation = "calls in the order A, B, A within the lease time";
            world.lastActor = number;
            world.lastNumber = fence;
            process.lastAct = world.now;
            process.lease.noteCall(timeOf(world.now));
            m_result.acts += 1;
            visit(world);
        }

        ModelLimits m_limits;
        DutyLease::Options m_options;
        std::vector<World> m_open;
        std::set<World> m_seen;
        ModelResult m_result;
    };

} // namespace

ModelResult explore(const ModelLimits& limits, const DutyLease::Options& options)
{
    return Explorer(limits, options).run();
}

} // namespace citronspoke::duties::tests
