#include "kernel/Kernel.h"

#include <csignal>
#include <unistd.h>

namespace citronspoke {

namespace {

    sigset_t terminationSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        return signals;
    }

} // namespace

Kernel::~Kernel() { stop(); }

void Kernel::insert(std::unique_ptr<Service> service)
{
    require(!lookUp(service->name()), "service name is unique");
    m_services.push_back(std::move(service));
}

Service* Kernel::lookUp(std::string_view name) const
{
    for (const std::unique_ptr<Service>& service : m_services) {
        if (service->name() == name)
            return service.get();
    }
    return nullptr;
}

void Kernel::start()
{
    while (m_startedCount < m_services.size())
        m_services[m_startedCount++]->start();
}

void Kernel::stop()
{
    while (m_startedCount > 0)
        m_services[--m_startedCount]->stop();
}

void blockTerminationSignals()
{
    sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void requestTermination() { kill(getpid(), SIGTERM); }

void waitForTermination()
{
    sigset_t signals = terminationSignals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace citronspoke
