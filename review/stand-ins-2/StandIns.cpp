#include "StandIns.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standins {

namespace {

    constexpr std::string_view Alphabet
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    std::string toBase64(const std::string& bytes)
    {
        std::string text;
        uint32_t buffer = 0;
        int bits = 0;
        for (const char byte : bytes) {
            buffer = (buffer << 8) | static_cast<unsigned char>(byte);
            for (bits += 8; bits >= 6; bits -= 6)
                text.push_back(Alphabet[(buffer >> (bits - 6)) & 63]);
        }
        if (bits > 0)
            text.push_back(Alphabet[(buffer << (6 - bits)) & 63]);
        while (text.size() % 4 != 0)
            text.push_back('=');
        return text;
    }

    std::string fromBase64(const std::string& text)
    {
        std::string bytes;
        uint32_t buffer = 0;
        int bits = 0;
        for (const char symbol : text) {
            const size_t value = Alphabet.find(symbol);
            if (value == std::string_view::npos)
                break;
            buffer = (buffer << 6) | static_cast<uint32_t>(value);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                bytes.push_back(static_cast<char>((buffer >> bits) & 255));
            }
        }
        return bytes;
    }

    std::string lower(std::string text)
    {
        for (char& letter : text)
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        return text;
    }

    /** @return the fields of a head, without its first line. */
    Fields parseFields(const std::string& head)
    {
        Fields fields;
        std::istringstream lines(head);
        std::string line;
        std::getline(lines, line);
        while (std::getline(lines, line) && line.size() > 1) {
            const size_t colon = line.find(':');
            size_t start = line.find_first_not_of(' ', colon + 1);
            start = std::min(start, line.size() - 1);
            fields[lower(line.substr(0, colon))] = line.substr(start, line.size() - 1 - start);
        }
        return fields;
    }

    std::string decoded(const std::string& text)
    {
        std::string result;
        for (size_t index = 0; index < text.size(); ++index) {
            if (text[index] != '%') {
                result.push_back(text[index]);
                continue;
            }
            result.push_back(
                static_cast<char>(std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16)));
            index += 2;
        }
        return result;
    }

    Fields parseQuery(const std::string& target)
    {
        Fields query;
        const size_t mark = target.find('?');
        std::istringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            const size_t equals = part.find('=');
            query[part.substr(0, equals)] = decoded(part.substr(equals + 1));
        }
        return query;
    }

    int listenOn(int port)
    {
        const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int yes = 1;
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
            || listen(listener, 1024) != 0)
            throw std::runtime_error("no port to listen on");
        return listener;
    }

    int portOf(int descriptor)
    {
        sockaddr_in address {};
        socklen_t size = sizeof address;
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

    void respond(Link& link, int status, const std::string& body)
    {
        link.send(compose("HTTP/1.1 " + std::to_string(status) + " -",
            { { "Content-Type", "application/json" }, { "Store-Era", "1" } }, body));
    }

    void respond(Link& link, int status, const Json& body) { respond(link, status, body.dump()); }

    std::string& folderToRemove()
    {
        static std::string folder;
        return folder;
    }

} // namespace

Record::Record(const std::string& path)
    : m_file(path)
{
}

Milliseconds Record::now() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start);
}

void Record::line(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    const std::string whole = std::to_string(now().count()) + " ms: " + text + "\n";
    m_file << whole << std::flush;
    std::cout << whole << std::flush;
}

std::string Request::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

Link::~Link() { close(); }

bool Link::send(const std::string& bytes) const
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size
            = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<size_t>(size);
    }
    return true;
}

bool Link::receive(std::string& bytes, size_t most) const
{
    std::string buffer(most, '\0');
    const ssize_t size = recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (size <= 0)
        return false;
    bytes.append(buffer, 0, static_cast<size_t>(size));
    return true;
}

void Link::setTimeout(Milliseconds limit) const
{
    const timeval time { limit.count() / 1000, (limit.count() % 1000) * 1000 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

bool Link::readRequest(Request& request)
{
    size_t end = 0;
    while ((end = m_pending.find("\r\n\r\n")) == std::string::npos) {
        if (!receive(m_pending))
            return false;
    }
    const std::string head = m_pending.substr(0, end + 2);
    m_pending.erase(0, end + 4);
    std::istringstream words(head);
    words >> request.method >> request.target;
    request.fields = parseFields(head);
    const size_t length = std::strtoul(request.field("content-length").c_str(), nullptr, 10);
    while (m_pending.size() < length) {
        if (!receive(m_pending))
            return false;
    }
    request.body = m_pending.substr(0, length);
    m_pending.erase(0, length);
    return true;
}

void Link::reset()
{
    const linger now { 1, 0 };
    if (m_descriptor >= 0)
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

void Link::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

std::unique_ptr<Link> connectTo(int port, int receiveBuffer)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        // Packets as on a network: those of the loopback interface exceed a small window.
        const int segment = 1448;
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    }
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    std::unique_ptr<Link> link = std::make_unique<Link>(descriptor);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        return nullptr;
    return link;
}

std::string compose(const std::string& startLine,
    const std::vector<std::pair<std::string, std::string>>& fields, const std::string& body)
{
    std::string text = startLine + "\r\n";
    for (const auto& [name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Response fetch(Link& link, const std::string& request, size_t mostBytes,
    const std::function<void(size_t)>& beforeRead)
{
    Response response;
    if (!link.send(request))
        return response;
    std::string bytes;
    size_t end = 0;
    while ((end = bytes.find("\r\n\r\n")) == std::string::npos) {
        if (!link.receive(bytes, mostBytes))
            return response;
    }
    response.fields = parseFields(bytes.substr(0, end + 2));
    response.status = std::atoi(bytes.substr(bytes.find(' ') + 1, 3).c_str());
    bytes.erase(0, end + 4);
    const auto more = [&] {
        if (beforeRead)
            beforeRead(response.body.size() + bytes.size());
        return link.receive(bytes, mostBytes);
    };
    if (response.fields.contains("content-length")) {
        const size_t length = std::strtoul(response.fields["content-length"].c_str(), nullptr, 10);
        while (bytes.size() < length && more()) { }
        response.isComplete = bytes.size() == length;
        response.body = bytes;
        return response;
    }
    // Chunks.
    while (true) {
        size_t line = 0;
        while ((line = bytes.find("\r\n")) == std::string::npos) {
            if (!more())
                return response;
        }
        const size_t size = std::strtoul(bytes.c_str(), nullptr, 16);
        while (bytes.size() < line + 2 + size + 2) {
            if (!more())
                return response;
        }
        response.body += bytes.substr(line + 2, size);
        bytes.erase(0, line + 2 + size + 2);
        if (size == 0) {
            response.isComplete = true;
            return response;
        }
    }
}

Server::Server(Handler handler, int port)
    : m_handler(std::move(handler))
    , m_listener(listenOn(port))
    , m_port(portOf(m_listener))
    , m_acceptor([this] { acceptAll(); })
{
}

Server::~Server()
{
    if (!m_isStopping)
        crash();
}

void Server::acceptAll()
{
    while (!m_isStopping) {
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        m_serving += 1;
        std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
}

void Server::serve(int descriptor)
{
    const int yes = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    {
        Link link(descriptor);
        {
            const std::lock_guard lock(m_mutex);
            m_links.push_back(&link);
        }
        for (Request request; !m_isStopping && link.readRequest(request); request = {})
            m_handler(request, link);
        const std::lock_guard lock(m_mutex);
        std::erase(m_links, &link);
        if (m_isStopping)
            link.reset();
    }
    m_serving -= 1;
}

void Server::resetAll()
{
    const std::lock_guard lock(m_mutex);
    const linger now { 1, 0 };
    for (Link* link : m_links) {
        setsockopt(link->descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        // Disconnects with a reset; the thread that serves the connection sees its end.
        sockaddr none {};
        none.sa_family = AF_UNSPEC;
        static_cast<void>(connect(link->descriptor(), &none, sizeof none));
    }
}

void Server::crash()
{
    m_isStopping = true;
    resetAll();
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    while (m_serving > 0) {
        resetAll();
        std::this_thread::sleep_for(Milliseconds(5));
    }
}

Store::Store()
    : m_server([this](const Request& request, Link& link) { handle(request, link); })
{
}

void Store::put(const std::string& key, const std::string& value, int64_t lease)
{
    const std::lock_guard lock(m_mutex);
    putLocked(key, value, lease);
}

void Store::putWhenUp(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    if (m_isSilent)
        m_waiting[key] = value;
    else
        putLocked(key, value, 0);
}

void Store::remove(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    removeLocked(key);
}

void Store::setSilent(bool isSilent)
{
    const std::lock_guard lock(m_mutex);
    m_isSilent = isSilent;
    if (!isSilent) {
        for (const auto& [key, value] : std::exchange(m_waiting, {}))
            putLocked(key, value, 0);
    }
    m_changed.notify_all();
}

void Store::putLocked(const std::string& key, const std::string& value, int64_t lease)
{
    m_revision += 1;
    const auto known = m_items.find(key);
    const int64_t created = known == m_items.end() ? m_revision : known->second.created;
    m_items[key] = { value, m_revision, created, lease };
    m_events.push_back({ key, m_revision, false, m_items[key] });
    m_changed.notify_all();
}

void Store::removeLocked(const std::string& key)
{
    if (m_items.erase(key) == 0)
        return;
    m_revision += 1;
    m_events.push_back({ key, m_revision, true, {} });
    m_changed.notify_all();
}

void Store::expireLeasesLocked()
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.second > Clock::now()) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease->first)
                keys.push_back(key);
        }
        lease = m_leases.erase(lease);
        for (const std::string& key : keys)
            removeLocked(key);
    }
}

bool Store::waitWhileSilent()
{
    std::unique_lock lock(m_mutex);
    const bool wasSilent = m_isSilent;
    m_changed.wait(lock, [this] { return !m_isSilent; });
    return wasSilent;
}

void Store::handle(const Request& request, Link& link)
{
    // A channel on which a response is lost returns nothing further.
    if (waitWhileSilent()) {
        link.reset();
        return;
    }
    const Fields query = parseQuery(request.target);
    const auto valueOf = [&query](const std::string& name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    if (request.target.starts_with("/kv-watch")) {
        handleWatch(query, link);
    } else if (request.target.starts_with("/kv-range")) {
        const std::string prefix = valueOf("pathPrefix");
        Json items = Json::array();
        std::unique_lock lock(m_mutex);
        expireLeasesLocked();
        for (const auto& [key, item] : m_items) {
            if (key.starts_with(prefix) && key > valueOf("after"))
                items.push_back({ { "key", key }, { "value", toBase64(item.value) },
                    { "revision", item.revision }, { "created", item.created },
                    { "lease", item.lease } });
        }
        const Json body { { "items", items }, { "hasMore", false }, { "at", m_revision } };
        lock.unlock();
        respond(link, 200, body);
    } else if (request.target.starts_with("/kv-txn")) {
        handleWrite(Json::parse(request.body), link);
    } else if (request.target.starts_with("/kv-lease") || request.target.starts_with("/kv-keep")) {
        handleLease(request, link);
    } else {
        respond(link, 404, Json::object());
    }
}

void Store::handleWatch(const Fields& query, Link& link)
{
    const std::string prefix = query.at("pathPrefix");
    const int64_t after = std::stoll(query.at("after"));
    const Clock::time_point end = Clock::now() + Milliseconds(std::stoll(query.at("waitMs")));
    Json events = Json::array();
    int64_t at = 0;
    bool wasSilent = false;
    {
        std::unique_lock lock(m_mutex);
        while (events.empty() && !wasSilent) {
            expireLeasesLocked();
            for (const Event& event : m_events) {
                if (event.revision <= after || !event.key.starts_with(prefix))
                    continue;
                if (event.isDeleted)
                    events.push_back({ { "key", event.key }, { "revision", event.revision },
                        { "deleted", true } });
                else
                    events.push_back({ { "key", event.key }, { "revision", event.revision },
                        { "value", toBase64(event.item.value) }, { "lease", event.item.lease },
                        { "created", event.item.created } });
            }
            at = m_revision;
            if (events.empty() && Clock::now() >= end)
                break;
            if (events.empty())
                m_changed.wait_until(lock, std::min(end, Clock::now() + Milliseconds(100)));
            wasSilent = m_isSilent;
        }
        m_changed.wait(lock, [this] { return !m_isSilent; });
    }
    if (wasSilent)
        link.reset();
    else
        respond(link, 200, Json { { "events", events }, { "at", at } });
}

void Store::handleWrite(const Json& body, Link& link)
{
    std::unique_lock lock(m_mutex);
    expireLeasesLocked();
    for (const Json& row : body.value("precondition", Json::array())) {
        const auto found = m_items.find(row.at("key").get<std::string>());
        const int64_t current = found == m_items.end() ? 0 : found->second.revision;
        if (current != row.at("revision").get<int64_t>()) {
            lock.unlock();
            respond(link, 412, Json { { "items", Json::array() } });
            return;
        }
    }
    for (const Json& row : body.value("puts", Json::array())) {
        if (row.value("lease", 0) != 0 && !m_leases.contains(row.value("lease", 0))) {
            lock.unlock();
            respond(link, 404, Json::object());
            return;
        }
    }
    for (const Json& row : body.value("puts", Json::array()))
        putLocked(row.at("key").get<std::string>(), fromBase64(row.at("value").get<std::string>()),
            row.value("lease", 0));
    for (const Json& key : body.value("remove", Json::array()))
        removeLocked(key.get<std::string>());
    const int64_t revision = m_revision;
    lock.unlock();
    respond(link, 200, Json { { "revision", revision } });
}

void Store::handleLease(const Request& request, Link& link)
{
    std::unique_lock lock(m_mutex);
    expireLeasesLocked();
    int status = 200;
    Json body = Json::object();
    const int64_t number = std::atoll(request.target.substr(request.target.rfind('/') + 1).c_str());
    if (request.method == "POST" && request.target == "/kv-lease") {
        const Milliseconds ttl(Json::parse(request.body).at("ttlMs").get<int64_t>());
        m_leases[++m_lastLease] = { ttl, Clock::now() + ttl };
        body = { { "lease", m_lastLease }, { "ttlMs", ttl.count() } };
    } else if (!m_leases.contains(number)) {
        status = 404;
    } else if (request.method == "DELETE") {
        m_leases[number].second = Clock::now();
        expireLeasesLocked();
    } else {
        m_leases[number].second = Clock::now() + m_leases[number].first;
    }
    lock.unlock();
    respond(link, status, body);
}

Process::Process(const std::string& program, const std::string& settings, const std::string& name)
{
    const std::string base = temporaryFolder() + "/" + name;
    std::ofstream(base + ".conf") << settings;
    const std::string variable = "CITRONSPOKE_SETTINGS=" + base + ".conf";
    const std::string log = base + ".log";
    m_id = fork();
    if (m_id != 0)
        return;
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    char* arguments[] { const_cast<char*>(program.c_str()), nullptr };
    char* environment[] { const_cast<char*>(variable.c_str()), nullptr };
    execve(program.c_str(), arguments, environment);
    _exit(127);
}

Process::~Process()
{
    if (!ended()) {
        kill(m_id, SIGKILL);
        waitpid(m_id, nullptr, 0);
    }
}

void Process::signal(int number) const { kill(m_id, number); }

std::optional<int> Process::ended()
{
    int status = 0;
    if (!m_status && waitpid(m_id, &status, WNOHANG) == m_id)
        m_status = status;
    return m_status;
}

int freePort()
{
    const int listener = listenOn(0);
    const int port = portOf(listener);
    close(listener);
    return port;
}

std::string temporaryFolder()
{
    std::string& folder = folderToRemove();
    if (folder.empty()) {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        folder = mkdtemp(pattern.data());
        if (!std::getenv("KEEP"))
            std::atexit([] { std::filesystem::remove_all(folderToRemove()); });
    }
    return folder;
}

std::string gatewaySettings(const std::string& name, const std::string& store, int callers,
    int readiness, int internal, int memoryMb, bool isFirstStart)
{
    const auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
    return "id = \"" + name + "\"\nzone = \"hall-keflavik\"\ncallers = " + address(callers)
        + "readiness = " + address(readiness) + "operator = " + address(internal) + "store = \""
        + store + "\"\nsidecar_port = " + std::to_string(freePort())
        + "\nstop_grace_s = 8\napply_time_ms = 2000\ndrain_time_ms = 2000\n"
          "limit_notice_ms = 3000\nretry_share = 0.2\nretry_fixed_part = 58\nretry_window_s = 10\n"
          "lease_time_ms = 3000\nclock_skew_ms = 5000\nmemory_mb = "
        + std::to_string(memoryMb) + "\nmax_descriptors = 4100\n"
        + (isFirstStart ? "first_start = true\n" : "");
}

bool waitUntilReady(int readinessPort, Milliseconds limit)
{
    const Clock::time_point end = Clock::now() + limit;
    while (Clock::now() < end) {
        if (const std::unique_ptr<Link> link = connectTo(readinessPort)) {
            link->setTimeout(Milliseconds(1000));
            if (fetch(*link, "GET /readyz HTTP/1.1\r\nHost: gateway\r\n\r\n").status == 200)
                return true;
        }
        std::this_thread::sleep_for(Milliseconds(50));
    }
    return false;
}

bool isCalm()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble && std::string(trouble) == "0";
}

} // namespace standins
