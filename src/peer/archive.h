// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// cereal archives that write to a string and read from untrusted bytes.

#pragma once

#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace reachlead {

/// Appends little-endian binary data to a string.
class FrameWriter : public cereal::OutputArchive<FrameWriter, cereal::AllowEmptyClassElision>
{
public:
    explicit FrameWriter(std::string *out)
        : cereal::OutputArchive<FrameWriter, cereal::AllowEmptyClassElision>(this), m_out(out)
    { }

    void saveBinary(const void *data, std::size_t size)
    {
        m_out->append(static_cast<const char *>(data), size);
    }

private:
    std::string *m_out;
};

/// Reads the output of FrameWriter. Throws cereal::Exception when the input is truncated, when a
/// size is larger than the remaining input (so that a hostile size is never allocated), or when a
/// flag is neither 0 nor 1.
class FrameReader : public cereal::InputArchive<FrameReader, cereal::AllowEmptyClassElision>
{
public:
    explicit FrameReader(std::string_view bytes)
        : cereal::InputArchive<FrameReader, cereal::AllowEmptyClassElision>(this),
          m_remaining(bytes)
    { }

    void loadBinary(void *data, std::size_t size)
    {
        if (size > m_remaining.size())
            throw cereal::Exception("frame is truncated");
        if (size > 0)
            std::memcpy(data, m_remaining.data(), size);
        m_remaining.remove_prefix(size);
    }

    /// Number of bytes not read yet.
    std::size_t remaining() const { return m_remaining.size(); }

private:
    std::string_view m_remaining;
};

// cereal finds these functions by name.
// NOLINTBEGIN(readability-identifier-naming)

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(FrameWriter &ar, const T &t)
{
    ar.saveBinary(std::addressof(t), sizeof t);
}

template <class T>
std::enable_if_t<std::is_arithmetic_v<T> && !std::is_same_v<T, bool>>
CEREAL_LOAD_FUNCTION_NAME(FrameReader &ar, T &t)
{
    ar.loadBinary(std::addressof(t), sizeof t);
}

inline void CEREAL_LOAD_FUNCTION_NAME(FrameReader &ar, bool &t)
{
    std::uint8_t byte = 0;
    ar.loadBinary(&byte, sizeof byte);
    if (byte > 1)
        throw cereal::Exception("flag is neither 0 nor 1");
    t = byte == 1;
}

template <class Archive, class T>
CEREAL_ARCHIVE_RESTRICT(FrameReader, FrameWriter)
CEREAL_SERIALIZE_FUNCTION_NAME(Archive &ar, cereal::NameValuePair<T> &t)
{
    ar(t.value);
}

template <class T> void CEREAL_SAVE_FUNCTION_NAME(FrameWriter &ar, const cereal::SizeTag<T> &t)
{
    ar(static_cast<std::uint32_t>(t.size));
}

template <class T> void CEREAL_LOAD_FUNCTION_NAME(FrameReader &ar, cereal::SizeTag<T> &t)
{
    std::uint32_t size = 0;
    ar(size);
    if (size > ar.remaining())
        throw cereal::Exception("size is larger than the frame");
    t.size = size;
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(FrameWriter &ar, const cereal::BinaryData<T> &data)
{
    ar.saveBinary(data.data, static_cast<std::size_t>(data.size));
}

template <class T> void CEREAL_LOAD_FUNCTION_NAME(FrameReader &ar, cereal::BinaryData<T> &data)
{
    ar.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

// NOLINTEND(readability-identifier-naming)

} // namespace reachlead

CEREAL_REGISTER_ARCHIVE(reachlead::FrameWriter)
CEREAL_REGISTER_ARCHIVE(reachlead::FrameReader)
CEREAL_SETUP_ARCHIVE_TRAITS(reachlead::FrameReader, reachlead::FrameWriter)
