#include "JobTable.h"

#include <algorithm>

namespace citronspoke::agent {

namespace {

    constexpr std::chrono::seconds EndedJobLifetime { 30 };

    bool isPrefilling(const Job& job)
    {
        return job.state == JobState::Running && !job.isServiceCall() && job.tokens.empty();
    }

    bool isSuspect(const Job& job, const decisions::CrashHistory& crashHistory)
    {
        return crashHistory.suspicion(job.submit.fingerprint, unixNow())
            == decisions::Suspicion::Suspect;
    }

} // namespace

Job* JobTable::find(const RequestId& request)
{
    auto found = m_jobs.find(request);
    return found == m_jobs.end() ? nullptr : &found->second;
}

Job& JobTable::replace(protocol::Submit submit)
{
    Job& job = m_jobs[submit.request];
    job = {};
    job.submit = std::move(submit);
    job.arrived = steadyNow();
    return job;
}

void JobTable::dropEnded(SteadyTime now)
{
    std::erase_if(m_jobs, [now](const auto& entry) {
        const Job& job = entry.second;
        return job.state == JobState::Done && now - job.ended > EndedJobLifetime;
    });
}

size_t JobTable::activeCount() const
{
    return static_cast<size_t>(std::count_if(
        m_jobs.begin(), m_jobs.end(), [](const auto& entry) { return entry.second.isActive(); }));
}

bool JobTable::hasWork() const
{
    return std::any_of(m_jobs.begin(), m_jobs.end(),
        [](const auto& entry) { return entry.second.state != JobState::Done; });
}

size_t JobTable::prefillingCount() const
{
    return static_cast<size_t>(std::count_if(m_jobs.begin(), m_jobs.end(),
        [](const auto& entry) { return isPrefilling(entry.second); }));
}

std::vector<uint64_t> JobTable::runningFingerprints() const
{
    std::vector<uint64_t> fingerprints;
    for (const auto& [request, job] : m_jobs) {
        if (job.state == JobState::Running)
            fingerprints.push_back(job.submit.fingerprint);
    }
    return fingerprints;
}

Job* JobTable::next(const decisions::CrashHistory& crashHistory)
{
    const bool isSuspectActive
        = std::any_of(m_jobs.begin(), m_jobs.end(), [&crashHistory](const auto& e) {
              return e.second.isActive() && isSuspect(e.second, crashHistory);
          });
    const auto rank = [](const Job& job) { return std::pair(job.isTrial(), job.submit.deadline); };
    Job* best = nullptr;
    for (auto& [request, job] : m_jobs) {
        if (job.state != JobState::Queued)
            continue;
        if (isSuspectActive && isSuspect(job, crashHistory))
            continue;
        if (!best || rank(job) < rank(*best))
            best = &job;
    }
    return best;
}

Job* JobTable::trialToPause()
{
    Job* latest = nullptr;
    for (auto& [request, job] : m_jobs) {
        const bool canPause
            = job.isTrial() && job.state == JobState::Running && !job.isServiceCall();
        if (canPause && (!latest || job.started > latest->started))
            latest = &job;
    }
    return latest;
}

protocol::TargetLoad JobTable::load(const LoadMeter& meter, uint32_t slots) const
{
    const SteadyTime now = steadyNow();
    protocol::TargetLoad total;
    total.slots = slots;
    total.prefillTokensPerSecond = meter.prefillTokensPerSecond();
    total.decodeStepMs = meter.decodeStepMs();
    total.promptDemandPerSecond = meter.promptDemandPerSecond(now);
    total.outputDemandPerSecond = meter.outputDemandPerSecond(now);
    for (const auto& [request, job] : m_jobs) {
        if (job.state == JobState::Done)
            continue;
        const bool isQueued = job.state == JobState::Queued;
        if (job.isTrial()) {
            (isQueued ? total.queuedTrial : total.runningTrial) += 1;
            continue;
        }
        (isQueued ? total.queuedPaying : total.runningPaying) += 1;
        if (job.tokens.empty())
            total.prefillBacklogTokens += job.submit.promptTokens;
        const uint32_t end = std::max(job.submit.outputTokens, job.nextOffset());
        total.decodeBacklogTokens += end - job.nextOffset();
    }
    return total;
}

} // namespace citronspoke::agent
