#pragma once

#include "channels/Channels.h"

#include <asio.hpp>

namespace citronspoke::channels {

struct EventLoop::Implementation {
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { context.get_executor() };
    std::unique_ptr<asio::signal_set> signals;
    std::function<void(int)> signalHandler;

    void waitForSignal();
};

} // namespace citronspoke::channels
