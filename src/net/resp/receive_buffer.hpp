// Bytes received from a peer that have not been consumed yet. The buffer grows to a small size by itself and
// beyond that only to a capacity that its owner sets, so that the owner can reserve the memory first.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace pineridge::resp {

class ReceiveBuffer {
  public:
    // The buffer holds up to this many bytes without a call of `grow`.
    static constexpr std::size_t kSmallBytes = 4096;

    std::string_view view() const { return bytes_; }
    std::size_t size() const { return bytes_.size(); }
    bool empty() const { return bytes_.empty(); }
    std::size_t capacity() const { return bytes_.capacity(); }
    // Returns how many bytes can be appended.
    std::size_t space() const { return std::max(kSmallBytes, bytes_.capacity()) - bytes_.size(); }

    // Appends the bytes, of which there are at most `space()`.
    void append(std::string_view received) {
        const std::size_t wanted = bytes_.size() + received.size();
        if (wanted > bytes_.capacity()) set_capacity(wanted <= kFirstBytes ? kFirstBytes : kSmallBytes);
        bytes_.append(received);
    }
    // Makes room for `capacity` bytes in all. While it copies, the old block and the new one exist both.
    void grow(std::size_t capacity) {
        if (capacity > bytes_.capacity()) set_capacity(capacity);
    }
    // Removes bytes from the front. A buffer that becomes empty returns its memory, unless it is little.
    void consume(std::size_t count) {
        bytes_.erase(0, count);
        if (bytes_.size() <= kFirstBytes && bytes_.capacity() > 2 * kFirstBytes) set_capacity(bytes_.size());
    }
    // Removes all bytes and returns the memory.
    void reset() { std::string().swap(bytes_); }
    // Returns all bytes, without copying them, and leaves the buffer empty.
    std::string take() { return std::exchange(bytes_, {}); }

  private:
    static constexpr std::size_t kFirstBytes = 512; // most commands and answers are shorter

    // std::string::reserve would round the capacity up to twice the old one, and an assignment from a string
    // that is short enough to need no block of its own would keep the old block.
    void set_capacity(std::size_t capacity) {
        std::string moved;
        if (capacity > 0) moved.reserve(capacity);
        moved.append(bytes_);
        bytes_.swap(moved);
    }

    std::string bytes_;
};

} // namespace pineridge::resp
