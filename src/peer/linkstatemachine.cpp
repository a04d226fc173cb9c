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

struct Connect
{ };
struct Connected
{ };
struct Welcomed
{ };
struct Disconnected
{ };
struct Remove
{ };

struct Waiting : front::state<>
{ };
struct Connecting : front::state<>
{ };
struct Handshaking : front::state<>
{ };
struct Up : front::state<>
{ };
struct Removed : front::state<>
{ };

struct LinkDef : front::state_machine_def<LinkDef>
{
    using no_exception_thrown = int;
    using no_message_queue = int;
    using initial_state = Waiting;

    bool isRejected = false;

    using none = front::none;
    // Boost.MSM numbers the states in the order of this table, which must be that of LinkState.
    // clang-format off
    struct transition_table : boost::mpl::vector<
        front::Row<Waiting,     Connect,      Connecting,  none, none>,
        front::Row<Waiting,     Remove,       Removed,     none, none>,
        front::Row<Connecting,  Connected,    Handshaking, none, none>,
        front::Row<Connecting,  Disconnected, Waiting,     none, none>,
        front::Row<Connecting,  Remove,       Removed,     none, none>,
        front::Row<Handshaking, Welcomed,     Up,          none, none>,
        front::Row<Handshaking, Disconnected, Waiting,     none, none>,
        front::Row<Handshaking, Remove,       Removed,     none, none>,
        front::Row<Up,          Disconnected, Waiting,     none, none>,
        front::Row<Up,          Remove,       Removed,     none, none>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event & /*event*/, Machine &m, int /*state*/)
    {
        m.isRejected = true;
    }
};

} // namespace

class LinkStateMachine::Impl : public msm::back::state_machine<LinkDef>
{
public:
    template <class Event> bool process()
    {
        isRejected = false;
        process_event(Event{});
        return !isRejected;
    }
};

LinkStateMachine::LinkStateMachine() : m_impl(std::make_unique<Impl>())
{
    m_impl->start();
}

LinkStateMachine::~LinkStateMachine() = default;

bool LinkStateMachine::apply(LinkEvent event)
{
    using Transition = bool (Impl::*)();
    constexpr std::array<Transition, 5> transitions{
        &Impl::process<Connect>, &Impl::process<Connected>, &Impl::process<Welcomed>,
        &Impl::process<Disconnected>, &Impl::process<Remove>};
    return (*m_impl.*transitions[static_cast<std::size_t>(event)])();
}

LinkState LinkStateMachine::state() const
{
    return static_cast<LinkState>(m_impl->current_state()[0]);
}

} // namespace reachlead
