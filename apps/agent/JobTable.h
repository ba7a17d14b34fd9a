#pragma once

#include "Job.h"
#include "LoadMeter.h"
#include "decisions/Decisions.h"

namespace citronspoke::agent {

/** The active and recently ended jobs of one agent; selects the next one to start. */
class JobTable {
public:
    using Jobs = std::map<RequestId, Job>;

    /** @return the job; null when the request is unknown. */
    Job* find(const RequestId& request);
    /** Creates a job for a request, in place of an ended job of the same request. */
    Job& replace(protocol::Submit submit);
    void erase(const RequestId& request) { m_jobs.erase(request); }
    Jobs& all() noexcept { return m_jobs; }

    /** Drops jobs that ended so long ago that no entry attaches to them any more. */
    void dropEnded(SteadyTime now);
    /** @return the number of jobs that occupy a slot. */
    size_t activeCount() const;
    /** @return whether any job is queued or active. */
    bool hasWork() const;
    /** @return the number of running completions whose prompt is still being prefilled. */
    size_t prefillingCount() const;
    std::vector<uint64_t> runningFingerprints() const;

    /**
     * Selects a queued job: paying work before trial work, and each in order of deadlines, so
     * that long work with a late deadline is not starved. A request suspected of crashes waits
     * while another suspected one is active.
     * @return null when nothing may start.
     */
    Job* next(const decisions::CrashHistory& crashHistory);
    /** @return the running trial that started last; null when there is none. */
    Job* trialToPause();

    /** @return the load of the jobs and the speed measured by @p meter. */
    protocol::TargetLoad load(const LoadMeter& meter, uint32_t slots) const;

private:
    Jobs m_jobs;
};

} // namespace citronspoke::agent
