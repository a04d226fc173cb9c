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

struct Bound
{ };
struct Began
{ };
struct SessionLost
{ };
struct Found
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

struct MachineDef : front::state_machine_def<MachineDef>
{
    using no_exception_thrown = int;
    using no_message_queue = int;
    using initial_state = Queued;

    bool refusedMove = false;

    using none = front::none;
    // MSM numbers the states in the order of their first use as a source, then as a target;
    // RequestState lists them in the same order.
    // clang-format off
    struct transition_table : boost::mpl::vector<
        front::Row<Queued,     Bound,      Sent,       none, none>,
        front::Row<Queued,     Finished,   Ended,      none, none>,
        front::Row<Sent,       Began,      Running,    none, none>,
        front::Row<Sent,       Requeued,    Queued,     none, none>,
        front::Row<Sent,       SessionLost, Recovering, none, none>,
        front::Row<Sent,       Finished,   Ended,      none, none>,
        front::Row<Running,    Began,      none,       none, none>,
        front::Row<Running,    Requeued,    Queued,     none, none>,
        front::Row<Running,    SessionLost, Recovering, none, none>,
        front::Row<Running,    Finished,   Ended,      none, none>,
        front::Row<Recovering, Found,      Running,    none, none>,
        front::Row<Recovering, Requeued,    Queued,     none, none>,
        front::Row<Recovering, SessionLost, none,       none, none>,
        front::Row<Recovering, Finished,   Ended,      none, none>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event & /*event*/, Machine &m, int /*state*/)
    {
        m.refusedMove = true;
    }
};

} // namespace

class RequestLifecycle::Impl : public msm::back::state_machine<MachineDef>
{
public:
    template <class Event> bool move()
    {
        refusedMove = false;
        process_event(Event{});
        return !refusedMove;
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
    using Move = bool (Impl::*)();
    constexpr std::array<Move, 6> moves{&Impl::move<Bound>,       &Impl::move<Began>,
                                        &Impl::move<SessionLost>, &Impl::move<Found>,
                                        &Impl::move<Requeued>,    &Impl::move<Finished>};
    return (*m_impl.*moves[static_cast<std::size_t>(event)])();
}

RequestState RequestLifecycle::state() const
{
    return static_cast<RequestState>(m_impl->current_state()[0]);
}

} // namespace reachlead
