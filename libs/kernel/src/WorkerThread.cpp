#include "kernel/Kernel.h"

#include <pthread.h>

namespace citronspoke {

WorkerThread::WorkerThread(std::string_view name, std::function<void(std::stop_token)> body)
    : m_thread([threadName = std::string(name.substr(0, 15)), run = std::move(body)](
                   const std::stop_token& token) {
        pthread_setname_np(pthread_self(), threadName.c_str());
        run(token);
    })
{
}

bool sleepUnlessStopped(const std::stop_token& token, std::chrono::milliseconds duration)
{
    std::mutex mutex;
    std::condition_variable_any wake;
    std::unique_lock lock(mutex);
    wake.wait_for(lock, token, duration, [&token] { return token.stop_requested(); });
    return !token.stop_requested();
}

} // namespace citronspoke
