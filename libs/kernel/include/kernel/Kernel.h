#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <exception>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/** The micro-kernel: typed errors, bounded rings, duties (one thread each) and named services. */
namespace citronspoke {

/** Base of every failure. Each failure is a type with typed fields; text is made on display. */
class Error : public std::exception {
public:
    /** @return a stable machine-readable name of the failure, such as "unknown_model". */
    virtual std::string_view kind() const noexcept = 0;
    /** @return one short sentence for a person. */
    virtual std::string describe() const = 0;
    const char* what() const noexcept override { return kind().data(); }
};

/** A caller broke a documented precondition; a programming error. */
class PreconditionViolated final : public Error {
public:
    explicit PreconditionViolated(std::string_view condition)
        : m_condition(condition)
    {
    }
    std::string_view kind() const noexcept override { return "precondition_violated"; }
    std::string describe() const override { return "Precondition violated: " + m_condition + "."; }

private:
    std::string m_condition;
};

/** Checks a precondition at the door. @throws PreconditionViolated when it does not hold. */
inline void require(bool condition, std::string_view text)
{
    if (!condition)
        throw PreconditionViolated(text);
}

/** A port could not be opened, most often because another process has it. */
class ListenFailed final : public Error {
public:
    ListenFailed(std::string_view address, std::string_view cause)
        : m_address(address)
        , m_cause(cause)
    {
    }
    std::string_view kind() const noexcept override { return "listen_failed"; }
    std::string describe() const override
    {
        return "Cannot listen on " + m_address + ": " + m_cause + ".";
    }

private:
    std::string m_address;
    std::string m_cause;
};

/** No service of that name is registered, or it is of another type. */
class ServiceNotFound final : public Error {
public:
    explicit ServiceNotFound(std::string_view name)
        : m_name(name)
    {
    }
    std::string_view kind() const noexcept override { return "service_not_found"; }
    std::string describe() const override { return "No service named " + m_name + "."; }

private:
    std::string m_name;
};

/**
 * A bounded queue between duties: many producers, one consumer.
 * A full ring refuses; the producer decides whether to drop, refuse or wait.
 */
template <typename T> class Ring {
public:
    /** @param capacity items held at most, > 0. */
    explicit Ring(size_t capacity)
        : m_capacity(capacity)
    {
        require(capacity > 0, "ring capacity > 0");
    }

    /** @return false when the ring is full or closed; the item is then left as it was. */
    bool tryPush(T&& item)
    {
        {
            std::lock_guard lock(m_mutex);
            if (m_closed || m_items.size() >= m_capacity)
                return false;
            m_items.push_back(std::move(item));
        }
        m_changed.notify_one();
        return true;
    }

    /**
     * Moves out all that is queued, waiting for the first item.
     * @param batch is cleared, then filled in order of arrival.
     * @param wait the longest wait for a first item.
     * @return false when the ring is closed and empty.
     */
    bool popAll(std::deque<T>& batch, std::chrono::milliseconds wait)
    {
        batch.clear();
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, wait, [this] { return m_closed || !m_items.empty(); });
        batch.swap(m_items);
        return !(m_closed && batch.empty());
    }

    /** Refuses further items and wakes the consumer. */
    void close()
    {
        {
            std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_changed.notify_all();
    }

    size_t size() const
    {
        std::lock_guard lock(m_mutex);
        return m_items.size();
    }

private:
    const size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<T> m_items;
    bool m_closed = false;
};

/** One named thread with one job. It is asked to stop and joined on destruction. */
class Duty {
public:
    /**
     * @param name at most 15 characters, shown by the operating system's tools.
     * @param body runs once; it returns soon after the token asks it to stop.
     */
    Duty(std::string_view name, std::function<void(std::stop_token)> body);
    void requestStop() { m_thread.request_stop(); }

private:
    std::jthread m_thread;
};

/** Sleeps for @p duration, less when the token asks to stop. @return false when asked to stop. */
bool sleepUnlessStopped(const std::stop_token& token, std::chrono::milliseconds duration);

/** A part of a process that others find by its name. */
class Service {
public:
    virtual ~Service() = default;
    virtual std::string_view name() const noexcept = 0;
    /** Called in order of registration. */
    virtual void start() { }
    /** Called in reverse order of registration. */
    virtual void stop() { }
};

/** Holds the services of a process, starts them in order and stops them in reverse. */
class Kernel {
public:
    Kernel() = default;
    ~Kernel();
    Kernel(const Kernel&) = delete;
    Kernel& operator=(const Kernel&) = delete;

    /** Registers a service. @return it. @throws PreconditionViolated when the name is taken. */
    template <typename T> T& add(std::unique_ptr<T> service)
    {
        T& added = *service;
        insert(std::move(service));
        return added;
    }

    /** @return the service of that name. @throws ServiceNotFound */
    template <typename T> T& find(std::string_view name) const
    {
        T* found = dynamic_cast<T*>(lookUp(name));
        if (!found)
            throw ServiceNotFound(name);
        return *found;
    }

    void start();
    void stop();

private:
    void insert(std::unique_ptr<Service> service);
    Service* lookUp(std::string_view name) const;

    std::vector<std::unique_ptr<Service>> m_services;
    size_t m_started = 0;
};

/** Blocks SIGTERM and SIGINT in this and later threads; call it first in main. */
void blockTerminationSignals();
/** Waits for SIGTERM or SIGINT. */
void waitForTermination();
/** Makes waitForTermination return. */
void requestTermination();

/**
 * Arms failure points, each "name" or "name:N" (the Nth pass), separated by commas.
 * Without the build option CITRONSPOKE_FAILURE_POINTS this does nothing.
 */
void armFailurePoints(std::string_view specification);

/**
 * A named step at which tests bring about a failure. When armed, the process stops itself
 * (SIGSTOP); the test sees that, injects its fault, and continues or kills the process.
 */
void failurePoint(std::string_view name);

} // namespace citronspoke
