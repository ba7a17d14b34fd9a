#include "EventLoopImplementation.h"

#include "telemetry/Telemetry.h"

#include <array>

namespace citronspoke::channels {

namespace {

    using Udp = asio::ip::udp;

    constexpr size_t MaxDatagramBytes = 2048;

} // namespace

struct DatagramPort::Implementation : std::enable_shared_from_this<Implementation> {
    Implementation(asio::io_context& context, Handler datagramHandler)
        : socket(context)
        , handler(std::move(datagramHandler))
    {
    }

    void receive()
    {
        socket.async_receive_from(asio::buffer(input), sender,
            [self = shared_from_this()](const asio::error_code& error, size_t size) {
                if (!self->socket.is_open())
                    return;
                // An error here reports an earlier send to a peer that no longer listens.
                if (!error)
                    self->deliver(std::string_view(self->input.data(), size));
                self->receive();
            });
    }

    void deliver(std::string_view datagram) const
    {
        try {
            handler(datagram);
        } catch (const std::exception& exception) {
            telemetry::reportUnexpected("datagram", exception);
        }
    }

    Udp::socket socket;
    Udp::endpoint sender;
    Handler handler;
    std::array<char, MaxDatagramBytes> input {};
};

DatagramPort::DatagramPort(EventLoop& loop, const fleet::Address& address, Handler handler)
    : m_implementation(
        std::make_shared<Implementation>(loop.implementation().context, std::move(handler)))
{
    try {
        const Udp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
        m_implementation->socket.open(endpoint.protocol());
        m_implementation->socket.bind(endpoint);
        m_implementation->socket.non_blocking(true);
    } catch (const asio::system_error& error) {
        throw ListenFailed(address.text(), error.code().message());
    }
    m_implementation->receive();
}

DatagramPort::~DatagramPort()
{
    asio::error_code ignored;
    m_implementation->socket.close(ignored);
}

void DatagramPort::send(const fleet::Address& peer, std::string_view datagram)
{
    asio::error_code error;
    const Udp::endpoint endpoint(asio::ip::make_address(peer.ip, error), peer.port);
    if (!error)
        m_implementation->socket.send_to(
            asio::buffer(datagram.data(), datagram.size()), endpoint, 0, error);
    // The senders repeat their updates, so a lost datagram is only counted.
    if (error)
        telemetry::count("datagrams_not_sent");
}

} // namespace citronspoke::channels
