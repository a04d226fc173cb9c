// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A bounded message queue between threads.

#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include <boost/circular_buffer.hpp>

namespace reachlead {

/// A bounded queue of messages for one consumer thread. Thread-safe.
///
/// The consumer is woken through a callback, usually a post to its io_context, once for any number
/// of pending messages. push() fails when the buffer is full. The producer handles that, and sizes
/// the buffer so that only bounded, per-request traffic can find it full.
template <class T> class RingBuffer
{
public:
    /// Holds at most \p capacity messages; \p wake is called in the producer's thread.
    RingBuffer(std::size_t capacity, std::function<void()> wake)
        : m_items(capacity), m_wake(std::move(wake))
    { }

    /// Appends a message; returns false when the buffer is full.
    bool push(T item)
    {
        {
            std::scoped_lock lock(m_mutex);
            if (m_items.full())
                return false;
            m_items.push_back(std::move(item));
            if (std::exchange(m_isWakePending, true))
                return true;
        }
        m_wake();
        return true;
    }

    /// Removes and returns all pending messages in order. Called by the consumer only.
    std::vector<T> drain()
    {
        std::scoped_lock lock(m_mutex);
        std::vector<T> drained(std::make_move_iterator(m_items.begin()),
                               std::make_move_iterator(m_items.end()));
        m_items.clear();
        m_isWakePending = false;
        return drained;
    }

private:
    std::mutex m_mutex;
    boost::circular_buffer<T> m_items;
    bool m_isWakePending = false;
    std::function<void()> m_wake;
};

} // namespace reachlead
