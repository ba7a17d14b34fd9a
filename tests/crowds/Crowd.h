#pragma once

#include "fleet/Fleet.h"

#include <functional>
#include <span>

namespace citronspoke::crowds {

/** What came back on one connection of a crowd. */
struct CrowdReply {
    /** Bytes received so far; of a long response only the beginning. */
    std::string bytes;
    /** The connection was closed by the other side. */
    bool isClosed = false;

    /** @return the status of the first response; 0 without one. */
    uint32_t status() const;
    /** @return whether the first response has a field of that name. */
    bool hasField(std::string_view name) const;
};

/**
 * Many connections to one address. The clients ignore what they receive and go on sending until
 * their connection is closed. The connections stay open until the crowd is destroyed.
 */
class Crowd {
public:
    /** @param size number of connections; those that are refused count as closed. */
    Crowd(const fleet::Address& address, size_t size);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /**
     * Sends the same bytes on each connection, in turn, until all of them have sent everything,
     * are closed, or can send no more.
     * @param sliceBytes size of a connection's turn.
     * @param afterTurn called each time that all connections have had a turn.
     */
    void send(
        std::string_view bytes, size_t sliceBytes, const std::function<void()>& afterTurn = {});
    /**
     * Sends the head, then the repeated bytes over and over.
     * @param totalBytes of each connection, at most.
     */
    void sendRepeated(std::string_view head, std::string_view repeated, size_t totalBytes,
        const std::function<void()>& afterTurn = {});
    /**
     * Waits until the other side has read all that was sent, or reads no more.
     * Uses the kernel's list of TCP connections.
     */
    void waitUntilRead() const;
    /** From now on nothing is received, so that the other side can send no more at some point. */
    void stopReceiving() { m_isReceiving = false; }
    /** Receives until each connection has a response or is closed. @return all replies. */
    std::span<const CrowdReply> receiveAll();
    /** Receives what has arrived. @return all replies. */
    std::span<const CrowdReply> receive();

private:
    struct Client {
        int descriptor = -1;
        size_t sent = 0;
    };
    /** @return the bytes that were sent. */
    size_t sendSome(size_t client, std::string_view bytes);
    void receiveSome(size_t client);

    fleet::Address m_address;
    std::vector<Client> m_clients;
    std::vector<CrowdReply> m_replies;
    bool m_isReceiving = true;
};

} // namespace citronspoke::crowds
