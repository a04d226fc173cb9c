// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/linkstatemachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace reachlead {

namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

struct Dial
{ };
struct Connected
{ };
struct Welcomed
{ };
struct Broken
{ };
struct Remove
{ };

struct Waiting : front::state<>
{ };
struct Connecting : front::state<>
{ };
struct Greeting : front::state<>
{ };
struct Up : front::state<>
{ };
struct Removed : front::state<>
{ };

struct MachineDef : front::state_machine_def<MachineDef>
{
    using no_exception_thrown = int;
    using no_message_queue = int;
    using initial_state = Waiting;

    bool refusedMove = false;

    using none = front::none;
    // The states stand in the order of LinkState.
    // clang-format off
    struct transition_table : boost::mpl::vector<
        front::Row<Waiting,    Dial,      Connecting, none, none>,
        front::Row<Waiting,    Remove,    Removed,    none, none>,
        front::Row<Connecting, Connected, Greeting,   none, none>,
        front::Row<Connecting, Broken,    Waiting,    none, none>,
        front::Row<Connecting, Remove,    Removed,    none, none>,
        front::Row<Greeting,   Welcomed,  Up,         none, none>,
        front::Row<Greeting,   Broken,    Waiting,    none, none>,
        front::Row<Greeting,   Remove,    Removed,    none, none>,
        front::Row<Up,         Broken,    Waiting,    none, none>,
        front::Row<Up,         Remove,    Removed,    none, none>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event & /*event*/, Machine &m, int /*state*/)
    {
        m.refusedMove = true;
    }
};

} // namespace

class LinkStateMachine::Impl : public msm::back::state_machine<MachineDef>
{
public:
    template <class Event> bool move()
    {
        refusedMove = false;
        process_event(Event{});
        return !refusedMove;
    }
};

LinkStateMachine::LinkStateMachine() : m_impl(std::make_unique<Impl>())
{
    m_impl->start();
}

LinkStateMachine::~LinkStateMachine() = default;

bool LinkStateMachine::apply(LinkEvent event)
{
    using Move = bool (Impl::*)();
    constexpr std::array<Move, 5> moves{&Impl::move<Dial>, &Impl::move<Connected>,
                                        &Impl::move<Welcomed>, &Impl::move<Broken>,
                                        &Impl::move<Remove>};
    return (*m_impl.*moves[static_cast<std::size_t>(event)])();
}

LinkState LinkStateMachine::state() const
{
    return static_cast<LinkState>(m_impl->current_state()[0]);
}

} // namespace reachlead
