// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/circuit.h>

#include <algorithm>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace reachlead {

namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

struct Failed
{
    Time at;
};
struct Succeeded
{ };
struct Asked
{
    Time at;
};
struct Abandoned
{ };

struct Closed : front::state<>
{ };
struct Open : front::state<>
{ };
struct HalfOpen : front::state<>
{ };

struct MachineDef : front::state_machine_def<MachineDef>
{
    using no_exception_thrown = int;
    using no_message_queue = int;
    using initial_state = Closed;

    unsigned failuresInRow = 0;
    Circuit::Settings settings;
    Duration pause = settings.initialOpenDuration;
    Time opensAgainAt{};
    unsigned probesOut = 0;

    struct CountFailure
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event & /*event*/, Machine &m, From & /*from*/, To & /*to*/)
        {
            ++m.failuresInRow;
        }
    };
    struct LastFailure
    {
        template <class Event, class Machine, class From, class To>
        bool operator()(const Event & /*event*/, Machine &m, From & /*from*/, To & /*to*/)
        {
            return m.failuresInRow + 1 >= m.settings.failuresToOpen;
        }
    };
    struct StartPause
    {
        template <class Machine, class From, class To>
        void operator()(const Failed &event, Machine &m, From & /*from*/, To & /*to*/)
        {
            m.opensAgainAt = event.at + m.pause;
            m.pause = std::min(m.pause * 2, m.settings.maxOpenDuration);
            m.probesOut = 0;
        }
    };
    struct PauseOver
    {
        template <class Machine, class From, class To>
        bool operator()(const Asked &event, Machine &m, From & /*from*/, To & /*to*/)
        {
            return event.at >= m.opensAgainAt;
        }
    };
    struct Heal
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event & /*event*/, Machine &m, From & /*from*/, To & /*to*/)
        {
            m.failuresInRow = 0;
            m.pause = m.settings.initialOpenDuration;
            m.probesOut = 0;
        }
    };
    struct ReturnProbe
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event & /*event*/, Machine &m, From & /*from*/, To & /*to*/)
        {
            m.probesOut = 0;
        }
    };

    using none = front::none;
    // clang-format off
    struct transition_table : boost::mpl::vector<
        front::Row<Closed,   Failed,    none,     CountFailure, none>,
        front::Row<Closed,   Failed,    Open,     StartPause,   LastFailure>,
        front::Row<Closed,   Succeeded, none,     Heal,         none>,
        front::Row<Open,     Asked,     HalfOpen, ReturnProbe,  PauseOver>,
        front::Row<HalfOpen, Failed,    Open,     StartPause,   none>,
        front::Row<HalfOpen, Succeeded, Closed,   Heal,         none>,
        front::Row<HalfOpen, Abandoned, none,     ReturnProbe,  none>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/)
    {
        // The events left out of the table say nothing new in that state.
    }
};

enum class StateIndex : std::uint8_t { Closed, Open, HalfOpen };

} // namespace

class Circuit::Impl : public msm::back::state_machine<MachineDef>
{
public:
    StateIndex index() const { return static_cast<StateIndex>(current_state()[0]); }
};

Circuit::Circuit() : Circuit(Settings()) { }

Circuit::Circuit(const Settings &settings) : m_impl(std::make_unique<Impl>())
{
    m_impl->settings = settings;
    m_impl->pause = settings.initialOpenDuration;
    m_impl->start();
}

Circuit::~Circuit() = default;
Circuit::Circuit(Circuit &&) noexcept = default;
Circuit &Circuit::operator=(Circuit &&) noexcept = default;

bool Circuit::allows(Time now)
{
    m_impl->process_event(Asked{now});
    switch (m_impl->index()) {
    case StateIndex::Closed:
        return true;
    case StateIndex::HalfOpen:
        return m_impl->probesOut == 0;
    case StateIndex::Open:
        break;
    }
    return false;
}

void Circuit::sent()
{
    if (m_impl->index() == StateIndex::HalfOpen)
        ++m_impl->probesOut;
}

void Circuit::succeeded()
{
    m_impl->process_event(Succeeded{});
}

void Circuit::failed(Time now)
{
    m_impl->process_event(Failed{now});
}

void Circuit::connectionRefused(Time now)
{
    for (unsigned n = 0; n < m_impl->settings.failuresToOpen; ++n)
        failed(now); // those behind the last are ignored while it is open
}

void Circuit::abandoned()
{
    m_impl->process_event(Abandoned{});
}

const char *Circuit::state() const
{
    constexpr std::array<const char *, 3> names{"closed", "open", "half-open"};
    return names[static_cast<std::size_t>(m_impl->index())];
}

} // namespace reachlead
