#pragma once

#include "channels/Channels.h"

#include <array>
#include <asio.hpp>

namespace citronspoke::channels {

/** Most that is read from a connection at a time. */
inline constexpr size_t ReadBufferBytes = 16384;

struct EventLoop::Implementation {
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { context.get_executor() };
    std::unique_ptr<asio::signal_set> signals;
    std::function<void(int)> signalHandler;
    /** Of the connection that delivers what it has received; one at a time. */
    std::array<char, ReadBufferBytes> readBuffer {};

    void waitForSignal();
};

} // namespace citronspoke::channels
