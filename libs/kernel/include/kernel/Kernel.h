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

/** Basis of every process: typed errors, bounded queues, worker threads and named services. */
namespace citronspoke {

/**
 * Base of all exceptions. Each kind of failure is a type with typed fields; its text is composed
 * only when it is displayed.
 */
class Error : public std::exception {
public:
    /**
     * @return a stable machine-readable name of the failure, such as "unknown_model". It must be
     * null-terminated, because what() returns it.
     */
    virtual std::string_view kind() const noexcept = 0;
    /** @return one short sentence for operators. */
    virtual std::string describe() const = 0;
    const char* what() const noexcept override { return kind().data(); }
};

/** A documented precondition was violated; a programming error. */
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

/** Checks a precondition. @throws PreconditionViolated when it does not hold. */
inline void require(bool condition, std::string_view text)
{
    if (!condition)
        throw PreconditionViolated(text);
}

/** An address could not be bound, most often because another process uses the port. */
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

/** No service of that name is registered, or it has another type. */
class ServiceNotFound final : public Error {
public:
    explicit ServiceNotFound(std::string_view name)
        : m_name(name)
    {
    }
    std::string_view kind() const noexcept override { return "service_not_found"; }
    std::string describe() const override
    {
        return "No service of the requested type is named " + m_name + ".";
    }

private:
    std::string m_name;
};

/**
 * Bounded queue between threads, with many producers and one consumer.
 * A full queue rejects items; the producer decides whether to drop, reject or wait.
 */
template <typename T> class BoundedQueue {
public:
    /** @param capacity largest number of queued items, > 0. */
    explicit BoundedQueue(size_t capacity)
        : m_capacity(capacity)
    {
        require(capacity > 0, "queue capacity > 0");
    }

    /** @return false when the queue is full or closed; the item is then unchanged. */
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
     * Removes all queued items, after a wait for the first one.
     * @param batch cleared, then filled in order of arrival; stays empty when the wait ends first.
     * @param wait longest wait for a first item, in milliseconds.
     * @return false when the queue is closed and empty.
     */
    bool popAll(std::deque<T>& batch, std::chrono::milliseconds wait)
    {
        batch.clear();
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, wait, [this] { return m_closed || !m_items.empty(); });
        batch.swap(m_items);
        return !(m_closed && batch.empty());
    }

    /** Rejects further items and wakes the consumer; queued items can still be removed. */
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

/** Named worker thread with one task. Its destruction requests a stop and joins the thread. */
class WorkerThread {
public:
    /**
     * @param name shown by the operating system's tools, cut to 15 characters.
     * @param body runs once; it must return soon after a stop is requested.
     */
    WorkerThread(std::string_view name, std::function<void(std::stop_token)> body);
    void requestStop() { m_thread.request_stop(); }

private:
    std::jthread m_thread;
};

/**
 * Sleeps for @p duration milliseconds, or until a stop is requested.
 * @return false when a stop was requested.
 */
bool sleepUnlessStopped(const std::stop_token& token, std::chrono::milliseconds duration);

/** Component of a process, which other components find by its name. */
class Service {
public:
    virtual ~Service() = default;
    virtual std::string_view name() const noexcept = 0;
    /** Called in order of registration. */
    virtual void start() { }
    /** Called in reverse order of registration. */
    virtual void stop() { }
};

/**
 * Owns the services of a process, starts them in order of registration and stops them in reverse
 * order.
 */
class Kernel {
public:
    Kernel() = default;
    ~Kernel();
    Kernel(const Kernel&) = delete;
    Kernel& operator=(const Kernel&) = delete;

    /**
     * Registers a service.
     * @return the service.
     * @throws PreconditionViolated when the name is taken.
     */
    template <typename T> T& add(std::unique_ptr<T> service)
    {
        T& added = *service;
        insert(std::move(service));
        return added;
    }

    /**
     * @return the service of that name.
     * @throws ServiceNotFound when there is none, or it has another type.
     */
    template <typename T> T& find(std::string_view name) const
    {
        T* found = dynamic_cast<T*>(lookUp(name));
        if (!found)
            throw ServiceNotFound(name);
        return *found;
    }

    /** Starts the services that are not running yet. */
    void start();
    /** Stops the running services. */
    void stop();

private:
    void insert(std::unique_ptr<Service> service);
    Service* lookUp(std::string_view name) const;

    std::vector<std::unique_ptr<Service>> m_services;
    size_t m_startedCount = 0;
};

/**
 * Blocks SIGTERM and SIGINT in this thread and those that it starts later, and ignores SIGPIPE.
 * Must be called first in main.
 */
void blockTerminationSignals();
/** Waits for SIGTERM or SIGINT. */
void waitForTermination();
/** Makes waitForTermination return. */
void requestTermination();

/**
 * Arms failure points.
 * @param specification list of "name" or "name:N", separated by commas; the point triggers at its
 *        first or Nth pass.
 * Does nothing unless built with the option CITRONSPOKE_FAILURE_POINTS.
 */
void armFailurePoints(std::string_view specification);

/**
 * Marks a step at which tests inject a failure. When the point is armed, the process pauses itself
 * with SIGSTOP; the test detects that, injects its fault, and continues or kills the process.
 */
void failurePoint(std::string_view name);

} // namespace citronspoke
