// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Blocking sockets, HTTP messages and a record for the stand-ins of the review's scripts. Loopback
/// addresses only.

#pragma once

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fixture {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline void pause(Millis time)
{
    std::this_thread::sleep_for(time);
}

/// The lines of record.txt. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(std::fopen(path.c_str(), "w"))
    {
        if (m_file == nullptr)
            throw std::runtime_error("record.txt cannot be written");
    }
    ~Record() { std::fclose(m_file); }
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void add(const std::string &who, const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        const auto ms = std::chrono::duration_cast<Millis>(Clock::now() - m_begin).count();
        std::fprintf(m_file, "%7.3f  %-9s  %s\n", static_cast<double>(ms) / 1000.0, who.c_str(),
                     text.c_str());
        std::fflush(m_file);
    }

private:
    std::FILE *m_file;
    std::mutex m_mutex;
    const Clock::time_point m_begin = Clock::now();
};

/// One line for the record: control characters are escaped, long texts are cut.
inline std::string printable(const std::string &text, std::size_t most = 160)
{
    std::string out;
    for (const char c : text.substr(0, most)) {
        if (c == '\r')
            out += "\\r";
        else if (c == '\n')
            out += "\\n";
        else
            out += c;
    }
    if (text.size() > most)
        out += "... (" + std::to_string(text.size()) + " bytes)";
    return out;
}

/// A connected TCP socket, closed by the destructor.
class Socket
{
public:
    explicit Socket(int fd = -1) : m_fd(fd) { }
    Socket(Socket &&other) noexcept : m_fd(std::exchange(other.m_fd, -1)) { }
    Socket &operator=(Socket &&other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket() { close(); }

    static Socket connect(int port)
    {
        Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(socket.m_fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0)
            socket.close();
        const int on = 1;
        ::setsockopt(socket.m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return socket;
    }

    bool isOpen() const { return m_fd >= 0; }
    int fd() const { return m_fd; }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    enum class Result { Data, End, Reset, Timeout };

    /// Appends what arrives until \p until.
    Result receive(std::string *to, Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
        pollfd poll{m_fd, POLLIN, 0};
        if (::poll(&poll, 1, static_cast<int>(std::max<long long>(0, left))) <= 0)
            return Result::Timeout;
        char buf[65536];
        const ssize_t n = ::recv(m_fd, buf, sizeof buf, 0);
        if (n == 0)
            return Result::End;
        if (n < 0)
            return Result::Reset;
        to->append(buf, static_cast<std::size_t>(n));
        return Result::Data;
    }

private:
    int m_fd;
};

/// A request, or the head and body of an answer.
struct Message
{
    std::string startLine;
    std::string head; ///< all of it
    std::string body;
    std::map<std::string, std::string> fields; ///< names in lower case

    std::string field(const std::string &name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? "" : it->second;
    }
    /// Method or version, target or status.
    std::string word(int number) const
    {
        std::size_t at = 0;
        for (int n = 0; n < number; ++n)
            at = startLine.find(' ', at) + 1;
        return startLine.substr(at, startLine.find(' ', at) - at);
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

inline Message parseHead(const std::string &head)
{
    Message message;
    message.head = head;
    std::size_t at = head.find("\r\n");
    message.startLine = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t end = head.find("\r\n", at + 2);
        const std::string line = head.substr(at + 2, end - at - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            std::ranges::transform(name, name.begin(),
                                   [](unsigned char c) { return std::tolower(c); });
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace(name, value == std::string::npos ? "" : line.substr(value));
        }
        at = end;
    }
    return message;
}

/// Reads HTTP messages from one socket.
class Reader
{
public:
    explicit Reader(Socket &socket) : m_socket(socket) { }

    enum class Result { Whole, End, Reset, Timeout };

    /// Reads one message with Content-Length, chunks or no body.
    Result read(Message *message, Clock::time_point until)
    {
        Result result = Result::Whole;
        std::size_t end = 0;
        while ((end = m_held.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until, &result))
                return result;
        }
        *message = parseHead(m_held.substr(0, end));
        m_held.erase(0, end + 4);
        if (message->field("transfer-encoding") == "chunked")
            return readChunks(message, until);
        const std::size_t size =
            std::strtoull(message->field("content-length").c_str(), nullptr, 10);
        while (m_held.size() < size) {
            if (!more(until, &result))
                return result;
        }
        message->body = m_held.substr(0, size);
        m_held.erase(0, size);
        return Result::Whole;
    }

private:
    bool more(Clock::time_point until, Result *result)
    {
        switch (m_socket.receive(&m_held, until)) {
        case Socket::Result::Data:
            return true;
        case Socket::Result::End:
            *result = Result::End;
            return false;
        case Socket::Result::Reset:
            *result = Result::Reset;
            return false;
        case Socket::Result::Timeout:
            break;
        }
        *result = Result::Timeout;
        return false;
    }

    Result readChunks(Message *message, Clock::time_point until)
    {
        Result result = Result::Whole;
        while (true) {
            std::size_t end = 0;
            while ((end = m_held.find("\r\n")) == std::string::npos) {
                if (!more(until, &result))
                    return result;
            }
            const std::size_t size = std::strtoull(m_held.c_str(), nullptr, 16);
            while (m_held.size() < end + 2 + size + 2) {
                if (!more(until, &result))
                    return result;
            }
            message->body += m_held.substr(end + 2, size);
            m_held.erase(0, end + 2 + size + 2); // the last chunk has no trailer here
            if (size == 0)
                return Result::Whole;
        }
    }

    Socket &m_socket;
    std::string m_held;
};

inline const char *toString(Reader::Result result)
{
    switch (result) {
    case Reader::Result::Whole:
        return "whole";
    case Reader::Result::End:
        return "closed without an answer";
    case Reader::Result::Reset:
        return "reset without an answer";
    case Reader::Result::Timeout:
        break;
    }
    return "no whole answer so far, and the channel is still open";
}

/// Accepts connections at a free port and serves each in a thread until the process ends.
class Server
{
public:
    using Serve = std::function<void(Socket &)>;

    explicit Server(Serve serve) : m_serve(std::move(serve))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0
            || ::listen(m_fd, 128) != 0)
            throw std::runtime_error("no port to listen at");
        socklen_t size = sizeof at;
        ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&at), &size);
        m_port = ntohs(at.sin_port);
        std::thread([this] { acceptLoop(); }).detach();
    }

    int port() const { return m_port; }

private:
    void acceptLoop()
    {
        while (true) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] {
                Socket socket(fd);
                m_serve(socket);
            }).detach();
        }
    }

    Serve m_serve;
    int m_fd = -1;
    int m_port = 0;
};

inline std::string answerText(const std::string &status, const std::string &fields,
                              const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

} // namespace fixture
