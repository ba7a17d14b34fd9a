#pragma once

#include "Job.h"
#include "LoadMeter.h"
#include "decisions/Decisions.h"

namespace citronspoke::agent {

/** The jobs of one agent, and which of them goes next. */
class JobTable {
public:
    using Jobs = std::map<RequestId, Job>;

    /** @return the job; null when it is not known. */
    Job* find(const RequestId& request);
    /** Makes a fresh job in place of an ended one. */
    Job& renew(protocol::Submit submit);
    void erase(const RequestId& request) { m_jobs.erase(request); }
    Jobs& all() noexcept { return m_jobs; }

    /** Forgets jobs that ended so long ago that nobody attaches to them any more. */
    void forgetEnded(SteadyTime now);
    size_t activeCount() const;
    bool hasWork() const;
    /** @return running completions whose prompt is still being read. */
    size_t readingCount() const;
    std::vector<uint64_t> runningFingerprints() const;

    /**
     * Paying work goes before trial work, and each by its deadline, so that long work that can
     * wait is not starved. A suspect waits while another suspect is active.
     * @return null when nothing may start.
     */
    Job* next(const decisions::CrashLedger& ledger);
    /** @return the running trial that started last; null when there is none. */
    Job* trialToPause();

    protocol::TargetLoad load(const LoadMeter& meter, uint32_t slots) const;

private:
    Jobs m_jobs;
};

} // namespace citronspoke::agent
