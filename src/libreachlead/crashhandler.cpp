// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/crashhandler.h>

#include <array>
#include <csignal>
#include <string_view>

#include <execinfo.h>
#include <unistd.h>

namespace reachlead {

namespace {

constexpr std::size_t maxFrames = 48; ///< deeper frames belong to the event loop

void writeUnbuffered(std::string_view text)
{
    // A failed write cannot be reported.
    [[maybe_unused]] const ssize_t n = ::write(STDOUT_FILENO, text.data(), text.size());
}

/// Must not allocate, as the heap may be corrupt.
void handleFatalSignal(int signal)
{
    writeUnbuffered("level=error event=crashed signal=");
    const std::array<char, 3> digits{static_cast<char>('0' + signal / 10),
                                     static_cast<char>('0' + signal % 10), '\n'};
    writeUnbuffered({digits.data(), digits.size()});
    std::array<void *, maxFrames> frames{};
    const int depth = ::backtrace(frames.data(), static_cast<int>(frames.size()));
    ::backtrace_symbols_fd(frames.data(), depth, STDOUT_FILENO);
    (void)std::raise(signal); // SA_RESETHAND has restored the default action
}

} // namespace

void installCrashHandler()
{
    // The first call of backtrace() loads a library, which is not safe inside a signal handler.
    std::array<void *, 1> frames{};
    ::backtrace(frames.data(), static_cast<int>(frames.size()));
    struct sigaction action = {};
    action.sa_handler = handleFatalSignal;
    action.sa_flags = static_cast<int>(SA_RESETHAND);
    for (const int signal : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT})
        ::sigaction(signal, &action, nullptr);
}

} // namespace reachlead
