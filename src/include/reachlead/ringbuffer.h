// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The bounded ring that joins two threads.

#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include <boost/circular_buffer.hpp>

namespace reachlead {

/// A bounded queue of messages for one consuming thread. Thread-safe.
///
/// The consumer is woken through a callback (usually a post to its io_context) once for any
/// number of messages that wait. A full ring refuses the push; the producer decides what that
/// means, and sizes the ring so that only bounded, per-request traffic meets it.
template <class T> class RingBuffer
{
public:
    /// A ring of at most \p capacity messages; \p wake is called from the producer's thread.
    RingBuffer(std::size_t capacity, std::function<void()> wake)
        : m_items(capacity), m_wake(std::move(wake))
    { }

    /// Appends a message; false when the ring is full.
    bool push(T item)
    {
        {
            std::scoped_lock lock(m_mutex);
            if (m_items.full())
                return false;
            m_items.push_back(std::move(item));
            if (std::exchange(m_woken, true))
                return true;
        }
        m_wake();
        return true;
    }

    /// Takes all that waits, in order. Only the consumer calls it.
    std::vector<T> drain()
    {
        std::scoped_lock lock(m_mutex);
        std::vector<T> taken(std::make_move_iterator(m_items.begin()),
                             std::make_move_iterator(m_items.end()));
        m_items.clear();
        m_woken = false;
        return taken;
    }

private:
    std::mutex m_mutex;
    boost::circular_buffer<T> m_items;
    bool m_woken = false;
    std::function<void()> m_wake;
};

} // namespace reachlead
