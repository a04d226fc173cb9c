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
struct Checked
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

struct CircuitDef : front::state_machine_def<CircuitDef>
{
    using no_exception_thrown = int;
    using no_message_queue = int;
    using initial_state = Closed;

    unsigned failuresInRow = 0;
    Circuit::Settings settings;
    Duration openDuration = settings.initialOpenDuration;
    Time halfOpenAt{};
    unsigned probesInFlight = 0;

    struct CountFailure
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event & /*event*/, Machine &m, From & /*from*/, To & /*to*/)
        {
            ++m.failuresInRow;
        }
    };
    struct ThresholdReached
    {
        template <class Event, class Machine, class From, class To>
        bool operator()(const Event & /*event*/, Machine &m, From & /*from*/, To & /*to*/)
        {
            return m.failuresInRow + 1 >= m.settings.failuresToOpen;
        }
    };
    struct OpenCircuit
    {
        template <class Machine, class From, class To>
        void operator()(const Failed &event, Machine &m, From & /*from*/, To & /*to*/)
        {
            m.halfOpenAt = event.at + m.openDuration;
            m.openDuration = std::min(m.openDuration * 2, m.settings.maxOpenDuration);
            m.probesInFlight = 0;
        }
    };
    struct OpenTimeElapsed
    {
        template <class Machine, class From, class To>
        bool operator()(const Checked &event, Machine &m, From & /*from*/, To & /*to*/)
        {
            return event.at >= m.halfOpenAt;
        }
    };
    struct Reset
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event & /*event*/, Machine &m, From & /*from*/, To & /*to*/)
        {
            m.failuresInRow = 0;
            m.openDuration = m.settings.initialOpenDuration;
            m.probesInFlight = 0;
        }
    };
    struct ClearProbes
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event & /*event*/, Machine &m, From & /*from*/, To & /*to*/)
        {
            m.probesInFlight = 0;
        }
    };

    using none = front::none;
    // clang-format off
    struct transition_table : boost::mpl::vector<
        front::Row<Closed,   Failed,    none,     CountFailure, none>,
        front::Row<Closed,   Failed,    Open,     OpenCircuit,  ThresholdReached>,
        front::Row<Closed,   Succeeded, none,     Reset,        none>,
        front::Row<Open,     Checked,   HalfOpen, ClearProbes,  OpenTimeElapsed>,
        front::Row<HalfOpen, Failed,    Open,     OpenCircuit,  none>,
        front::Row<HalfOpen, Succeeded, Closed,   Reset,        none>,
        front::Row<HalfOpen, Abandoned, none,     ClearProbes,  none>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/)
    {
        // Events without a row in the table have no effect in that state.
    }
};

enum class StateIndex : std::uint8_t { Closed, Open, HalfOpen };

} // namespace

class Circuit::Impl : public msm::back::state_machine<CircuitDef>
{
public:
    StateIndex index() const { return static_cast<StateIndex>(current_state()[0]); }
};

Circuit::Circuit() : Circuit(Settings()) { }

Circuit::Circuit(const Settings &settings) : m_impl(std::make_unique<Impl>())
{
    m_impl->settings = settings;
    m_impl->openDuration = settings.initialOpenDuration;
    m_impl->start();
}

Circuit::~Circuit() = default;
Circuit::Circuit(Circuit &&) noexcept = default;
Circuit &Circuit::operator=(Circuit &&) noexcept = default;

bool Circuit::allows(Time now)
{
    m_impl->process_event(Checked{now});
    switch (m_impl->index()) {
    case StateIndex::Closed:
        return true;
    case StateIndex::HalfOpen:
        return m_impl->probesInFlight == 0;
    case StateIndex::Open:
        break;
    }
    return false;
}

void Circuit::sent()
{
    if (m_impl->index() == StateIndex::HalfOpen)
        ++m_impl->probesInFlight;
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
        failed(now); // ignored once the circuit is open
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
