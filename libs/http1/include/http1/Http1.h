#pragma once

#include "kernel/Kernel.h"

#include <cstdint>
#include <span>
#include <utility>
#include <variant>

struct http_parser;

/** Strict parsing and composing of HTTP/1.1 messages, and event streams. Performs no I/O. */
namespace citronspoke::http1 {

/** Why bytes from a peer were rejected. */
enum class ParseFault : uint8_t { Malformed, HeadTooLarge, BodyTooLarge };

/** A peer sent a malformed HTTP/1.1 message, or one above the limits. */
class MessageRejected final : public Error {
public:
    explicit MessageRejected(ParseFault fault)
        : m_fault(fault)
    {
    }
    std::string_view kind() const noexcept override { return "message_rejected"; }
    std::string describe() const override;
    ParseFault fault() const noexcept { return m_fault; }

private:
    ParseFault m_fault;
};

struct Header {
    std::string name;
    std::string value;
};

/** Header fields of a message in the order received. Names are compared ignoring case. */
class Headers {
public:
    void add(std::string_view name, std::string_view value);
    /** Removes every field of that name. */
    void remove(std::string_view name);
    /** @return the value of the first field of that name, valid until the fields change. */
    std::optional<std::string_view> find(std::string_view name) const;
    size_t count(std::string_view name) const;
    /** @return bytes that the fields take in memory. */
    size_t memoryBytes() const noexcept;
    std::vector<Header>& entries() noexcept { return m_entries; }
    const std::vector<Header>& entries() const noexcept { return m_entries; }

private:
    std::vector<Header> m_entries;
};

/** @return whether two ASCII names are equal, ignoring case. */
bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept;

struct RequestHead {
    std::string method;
    /** Path and query, exactly as received. */
    std::string target;
    Headers headers;
    bool isPersistent = true;
    bool expectsContinue = false;

    /** @return bytes that the head takes in memory. */
    size_t memoryBytes() const noexcept;
};

/** How the end of a body is determined. */
enum class BodyFraming : uint8_t { None, Length, Chunked, UntilClose };

struct ResponseHead {
    uint32_t status = 0;
    std::string reason;
    Headers headers;
    BodyFraming framing = BodyFraming::None;
    /** Size of the body in bytes when the framing is Length. */
    uint64_t length = 0;
    bool isPersistent = true;

    /** @return bytes that the head takes in memory. */
    size_t memoryBytes() const noexcept;
};

/** Part of a body, as it was received. A parser merges the parts that one call to it yields. */
struct BodyPart {
    std::string bytes;
};
struct MessageEnd { };

using RequestEvent = std::variant<RequestHead, BodyPart, MessageEnd>;
using ResponseEvent = std::variant<ResponseHead, BodyPart, MessageEnd>;

/** A body in blocks, so that it grows without being copied. */
class Body {
public:
    void append(std::string_view bytes);
    size_t size() const noexcept { return m_size; }
    /** @return bytes that the body takes in memory. */
    size_t memoryBytes() const noexcept { return m_memoryBytes; }
    /** @return the bytes in order. */
    std::span<const std::string> blocks() const noexcept { return m_blocks; }
    /** @return a copy of all bytes. */
    std::string text() const;

private:
    std::vector<std::string> m_blocks;
    size_t m_size = 0;
    size_t m_memoryBytes = 0;
};

/** Largest message that a server accepts, in bytes. */
struct MessageLimits {
    size_t headBytes = 16384;
    size_t bodyBytes = 4 << 20;
};

/** Incremental parser for the requests of one connection. */
class RequestParser {
public:
    explicit RequestParser(const MessageLimits& limits);
    ~RequestParser();
    RequestParser(const RequestParser&) = delete;
    RequestParser& operator=(const RequestParser&) = delete;

    /**
     * Parses bytes up to the end of the current message.
     * @param events receives the parsed parts, appended in order.
     * @return number of bytes consumed; the others belong to the next request.
     * @throws MessageRejected when the request is malformed or too large.
     */
    size_t feed(std::string_view bytes, std::vector<RequestEvent>& events);
    /** Sets the limits for what is fed from now on, the rest of a begun request included. */
    void setLimits(const MessageLimits& limits) noexcept;
    /** @return whether no byte of a next request has been received. */
    bool isBetweenMessages() const noexcept;
    /** @return bytes of an unfinished head that the parser holds. */
    size_t heldBytes() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/** Incremental parser for the responses on one connection to a server. */
class ResponseParser {
public:
    ResponseParser();
    ~ResponseParser();
    ResponseParser(const ResponseParser&) = delete;
    ResponseParser& operator=(const ResponseParser&) = delete;

    /**
     * Parses bytes up to the end of the current response; skips interim (1xx) responses.
     * @param events receives the parsed parts, appended in order.
     * @return number of bytes consumed; the others follow the response and belong to no request
     * yet.
     * @throws MessageRejected when the response is malformed, or one that HTTP/1 does not have: its
     *         status is not between 100 and 599, it switches protocols, or it announces a body
     *         although a response of its status has none. Also when its head has more than 16 KB,
     *         or more than 128 fields.
     */
    size_t feed(std::string_view bytes, std::vector<ResponseEvent>& events);
    /**
     * Reports that the server closed the connection without an error.
     * @param events receives the MessageEnd when that completes a response.
     * @return whether it completes a response whose body is framed by the end of the connection.
     */
    bool finish(std::vector<ResponseEvent>& events);
    /** @return whether no byte of a next response has been received. */
    bool isBetweenMessages() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/** @return the head in wire form, including the empty line at its end. */
std::string composeRequest(
    std::string_view method, std::string_view target, const Headers& headers);
/** @copydoc composeRequest */
std::string composeResponse(uint32_t status, std::string_view reason, const Headers& headers);
/** @return one chunk of a chunked body. Empty bytes give an invalid chunk; see LastChunk. */
std::string composeChunk(std::string_view bytes);
/** Final chunk of a chunked body, without trailers. */
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/** Removes hop-by-hop fields, including those listed in the Connection field. */
void removeConnectionFields(Headers& headers);

/** One event of a text/event-stream, including the blank line that ends it. */
struct StreamEvent {
    std::string bytes;
    /** Absent when the event has no numeric id. */
    std::optional<uint64_t> id;
};

/** Splits a text/event-stream, with lines that end in LF, into complete events. */
class EventSplitter {
public:
    /** @return the events that these bytes complete. */
    std::vector<StreamEvent> feed(std::string_view bytes);
    /** @return size of the event that has been received in part. */
    size_t pendingBytes() const noexcept { return m_pending.size(); }
    /** @return bytes that the event that has been received in part takes in memory. */
    size_t memoryBytes() const noexcept;
    /** Drops the event that has been received in part. */
    void clear() noexcept { m_pending = std::string(); }
    /** @return whether an event has been received in part. */
    bool hasPartialEvent() const noexcept { return !m_pending.empty(); }

private:
    std::string m_pending;
};

} // namespace citronspoke::http1
