#pragma once

#include "kernel/Kernel.h"

#include <cstdint>
#include <utility>
#include <variant>

struct http_parser;

/** HTTP/1.1 messages: strict parsing, composing and event streams. Does no input or output. */
namespace citronspoke::http1 {

/** Why bytes from a peer are not an acceptable message. */
enum class ParseFault : uint8_t { Malformed, HeadTooLarge, BodyTooLarge };

/** A peer sent bytes that are not an acceptable HTTP/1.1 message. */
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

/** The fields of a message in the order in which they came; names ignore case. */
class Headers {
public:
    void add(std::string_view name, std::string_view value);
    /** Removes every field of that name. */
    void remove(std::string_view name);
    /** @return the value of the first field of that name. */
    std::optional<std::string_view> find(std::string_view name) const;
    size_t count(std::string_view name) const;
    std::vector<Header>& entries() noexcept { return m_entries; }
    const std::vector<Header>& entries() const noexcept { return m_entries; }

private:
    std::vector<Header> m_entries;
};

/** @return whether two names are the same but for case. */
bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept;

struct RequestHead {
    std::string method;
    /** Path and query as the caller wrote them. */
    std::string target;
    Headers headers;
    bool isKeptAlive = true;
    bool expectsContinue = false;
};

/** How a receiver finds the end of a body. */
enum class BodyFraming : uint8_t { None, Length, Chunked, UntilClose };

struct ResponseHead {
    uint32_t status = 0;
    std::string reason;
    Headers headers;
    BodyFraming framing = BodyFraming::None;
    /** Bytes of the body when the framing is Length. */
    uint64_t length = 0;
    bool isKeptAlive = true;
};

struct BodyPart {
    std::string bytes;
};
struct MessageEnd { };

using RequestEvent = std::variant<RequestHead, BodyPart, MessageEnd>;
using ResponseEvent = std::variant<ResponseHead, BodyPart, MessageEnd>;

/** What a server accepts. */
struct MessageLimits {
    size_t headBytes = 16384;
    size_t bodyBytes = 4 << 20;
};

/** Parses the requests of one connection, one after the other. */
class RequestParser {
public:
    explicit RequestParser(const MessageLimits& limits);
    ~RequestParser();
    RequestParser(const RequestParser&) = delete;
    RequestParser& operator=(const RequestParser&) = delete;

    /**
     * Takes bytes in until they or the current message end.
     * @param events gets what was recognised.
     * @return bytes used; the rest belongs to the next request.
     * @throws MessageRejected
     */
    size_t feed(std::string_view bytes, std::vector<RequestEvent>& events);
    /** @return whether no byte of a next request has come. */
    bool isBetweenMessages() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/** Parses the responses on one connection to a server. */
class ResponseParser {
public:
    ResponseParser();
    ~ResponseParser();
    ResponseParser(const ResponseParser&) = delete;
    ResponseParser& operator=(const ResponseParser&) = delete;

    /**
     * Takes bytes in until they or the current response end; interim responses are skipped.
     * @return bytes used; the rest belongs to no request yet.
     * @throws MessageRejected
     */
    size_t feed(std::string_view bytes, std::vector<ResponseEvent>& events);
    /**
     * Says that the server closed the connection in order.
     * @return whether that ends a response whose body has no other end; @p events gets its end.
     */
    bool finish(std::vector<ResponseEvent>& events);
    bool isBetweenMessages() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/** @return the head in wire form, with the empty line. */
std::string composeRequest(
    std::string_view method, std::string_view target, const Headers& headers);
std::string composeResponse(uint32_t status, std::string_view reason, const Headers& headers);
/** @return one chunk of a chunked body. */
std::string composeChunk(std::string_view bytes);
/** The end of a chunked body. */
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/** Removes fields that concern a single connection, and those that Connection names. */
void removeConnectionFields(Headers& headers);

/** One event of a text/event-stream, with its blank line. */
struct StreamEvent {
    std::string bytes;
    /** Absent when the event has no id that is a number. */
    std::optional<uint64_t> id;
};

/** Cuts a text/event-stream into whole events. */
class EventSplitter {
public:
    /** @return the events that are now complete. */
    std::vector<StreamEvent> feed(std::string_view bytes);
    /** @return whether part of an event has come and its end has not. */
    bool hasPartialEvent() const noexcept { return !m_pending.empty(); }

private:
    std::string m_pending;
};

} // namespace citronspoke::http1
