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

constexpr std::size_t mostFrames = 48; ///< deeper calls repeat the event loop

void say(std::string_view text)
{
    // Nothing can be done about a log that does not take it.
    [[maybe_unused]] const ssize_t n = ::write(STDOUT_FILENO, text.data(), text.size());
}

/// Calls nothing that allocates: the heap may be what is broken.
void onFatal(int signal)
{
    say("level=error event=crashed signal=");
    const std::array<char, 3> digits{static_cast<char>('0' + signal / 10),
                                     static_cast<char>('0' + signal % 10), '\n'};
    say({digits.data(), digits.size()});
    std::array<void *, mostFrames> frames{};
    const int depth = ::backtrace(frames.data(), static_cast<int>(frames.size()));
    ::backtrace_symbols_fd(frames.data(), depth, STDOUT_FILENO);
    (void)std::raise(signal); // SA_RESETHAND: the default now
}

} // namespace

void installCrashHandler()
{
    // The first call loads a library, which must not happen inside the handler.
    std::array<void *, 1> frames{};
    ::backtrace(frames.data(), static_cast<int>(frames.size()));
    struct sigaction action = {};
    action.sa_handler = onFatal;
    action.sa_flags = static_cast<int>(SA_RESETHAND);
    for (const int signal : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT})
        ::sigaction(signal, &action, nullptr);
}

} // namespace reachlead
