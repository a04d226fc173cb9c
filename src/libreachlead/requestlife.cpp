// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/requestlife.h>

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
struct SessionCut
{ };
struct Found
{ };
struct PutBack
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
    // LifeState lists them in the same order.
    // clang-format off
    struct transition_table : boost::mpl::vector<
        front::Row<Queued,     Bound,      Sent,       none, none>,
        front::Row<Queued,     Finished,   Ended,      none, none>,
        front::Row<Sent,       Began,      Running,    none, none>,
        front::Row<Sent,       PutBack,    Queued,     none, none>,
        front::Row<Sent,       SessionCut, Recovering, none, none>,
        front::Row<Sent,       Finished,   Ended,      none, none>,
        front::Row<Running,    Began,      none,       none, none>,
        front::Row<Running,    PutBack,    Queued,     none, none>,
        front::Row<Running,    SessionCut, Recovering, none, none>,
        front::Row<Running,    Finished,   Ended,      none, none>,
        front::Row<Recovering, Found,      Running,    none, none>,
        front::Row<Recovering, PutBack,    Queued,     none, none>,
        front::Row<Recovering, SessionCut, none,       none, none>,
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

class RequestLife::Impl : public msm::back::state_machine<MachineDef>
{
public:
    template <class Event> bool move()
    {
        refusedMove = false;
        process_event(Event{});
        return !refusedMove;
    }
};

RequestLife::RequestLife() : m_impl(std::make_unique<Impl>())
{
    m_impl->start();
}

RequestLife::~RequestLife() = default;
RequestLife::RequestLife(RequestLife &&) noexcept = default;
RequestLife &RequestLife::operator=(RequestLife &&) noexcept = default;

bool RequestLife::apply(LifeEvent event)
{
    using Move = bool (Impl::*)();
    constexpr std::array<Move, 6> moves{&Impl::move<Bound>,      &Impl::move<Began>,
                                        &Impl::move<SessionCut>, &Impl::move<Found>,
                                        &Impl::move<PutBack>,    &Impl::move<Finished>};
    return (*m_impl.*moves[static_cast<std::size_t>(event)])();
}

LifeState RequestLife::state() const
{
    return static_cast<LifeState>(m_impl->current_state()[0]);
}

} // namespace reachlead
