// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/requestlifecycle.h>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace reachlead {

namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

struct Assigned
{ };
struct ExecutionStarted
{ };
struct SessionLost
{ };
struct Recovered
{ };
struct Requeued
{ };
struct Finished
{ };

struct Queued : front::state<>
{ };
struct Sent : front::state<>
{ };
struct Running : front::state<>
{ };
struct Recovering : front::state<>
{ };
struct Ended : front::state<>
{ };

struct LifecycleDef : front::state_machine_def<LifecycleDef>
{
    using no_exception_thrown = int;
    using no_message_queue = int;
    using initial_state = Queued;

    bool wasRejected = false;

    using none = front::none;
    // MSM numbers the states by their first use as a source, then as a target. RequestState lists
    // them in the same order, because state() casts the number.
    // clang-format off
    struct transition_table : boost::mpl::vector<
        front::Row<Queued,     Assigned,         Sent,       none, none>,
        front::Row<Queued,     Finished,         Ended,      none, none>,
        front::Row<Sent,       ExecutionStarted, Running,    none, none>,
        front::Row<Sent,       Requeued,         Queued,     none, none>,
        front::Row<Sent,       SessionLost,      Recovering, none, none>,
        front::Row<Sent,       Finished,         Ended,      none, none>,
        front::Row<Running,    ExecutionStarted, none,       none, none>,
        front::Row<Running,    Requeued,         Queued,     none, none>,
        front::Row<Running,    SessionLost,      Recovering, none, none>,
        front::Row<Running,    Finished,         Ended,      none, none>,
        front::Row<Recovering, Recovered,        Running,    none, none>,
        front::Row<Recovering, Requeued,         Queued,     none, none>,
        front::Row<Recovering, SessionLost,      none,       none, none>,
        front::Row<Recovering, Finished,         Ended,      none, none>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event & /*event*/, Machine &m, int /*state*/)
    {
        m.wasRejected = true;
    }
};

} // namespace

class RequestLifecycle::Impl : public msm::back::state_machine<LifecycleDef>
{
public:
    template <class Event> bool process()
    {
        wasRejected = false;
        process_event(Event{});
        return !wasRejected;
    }
};

RequestLifecycle::RequestLifecycle() : m_impl(std::make_unique<Impl>())
{
    m_impl->start();
}

RequestLifecycle::~RequestLifecycle() = default;
RequestLifecycle::RequestLifecycle(RequestLifecycle &&) noexcept = default;
RequestLifecycle &RequestLifecycle::operator=(RequestLifecycle &&) noexcept = default;

bool RequestLifecycle::apply(RequestEvent event)
{
    using Transition = bool (Impl::*)();
    constexpr std::array<Transition, 6> transitions{
        &Impl::process<Assigned>,  &Impl::process<ExecutionStarted>, &Impl::process<SessionLost>,
        &Impl::process<Recovered>, &Impl::process<Requeued>,         &Impl::process<Finished>};
    return (*m_impl.*transitions[static_cast<std::size_t>(event)])();
}

RequestState RequestLifecycle::state() const
{
    return static_cast<RequestState>(m_impl->current_state()[0]);
}

} // namespace reachlead
