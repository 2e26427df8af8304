// Texts of other processes, which must be well-formed UTF-8 before they are stored.
#include "poplarpitch/core/text.h"

#include <gtest/gtest.h>

#include <string>

namespace poplarpitch {
namespace {

TEST(text, accepts_utf8_of_all_lengths) {
    for (const char* text :
         {"", "i-7f", "\xc3\xa9", "\xe0\xb8\x81", "\xf0\x9f\x8c\xb3", "\xf4\x8f\xbf\xbf"}) {
        EXPECT_TRUE(is_utf8(text)) << text;
    }
    EXPECT_TRUE(is_utf8(std::string("a\0b", 3)));
}

TEST(text, rejects_bytes_that_are_not_utf8) {
    const char* const lone_continuation = "\x80";
    const char* const truncated = "ab\xe0\xb8";
    const char* const overlong = "\xc0\xaf";
    const char* const surrogate = "\xed\xa0\x80";
    const char* const beyond_the_last_code_point = "\xf4\x90\x80\x80";
    for (const char* text : {lone_continuation, truncated, overlong, surrogate, beyond_the_last_code_point,
                             "i-7f\xe9\xff", "\xfe"}) {
        EXPECT_FALSE(is_utf8(text)) << text;
    }
}

} // namespace
} // namespace poplarpitch
