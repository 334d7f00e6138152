#include "chervilport/logging/event_log.h"
#include "chervilport/logging/event_rate.h"
#include "chervilport/logging/line_writer.h"

#include <array>
#include <criterion/criterion.h>
#include <string>
#include <unistd.h>

using namespace chervilport;
using namespace std::chrono_literals;

// Guards against a stalled log reader that blocks the process: the pipe is full and nothing reads from it.
Test(lineWriter, fullPipeDoesNotBlockWriters, .timeout = 20)
{
    std::array<int, 2> pipe {};
    cr_assert_eq(::pipe(pipe.data()), 0);
    line_writer writer(pipe[1], 64 * 1024);
    const std::string line(1'000, 'x');
    for (int i = 0; i < 5'000; ++i)
        writer.write(line + '\n');
    cr_assert_gt(writer.dropped(), 0);
    // The reader continues: the writer must write again and report the number of dropped lines.
    std::string read;
    std::array<char, 65'536> buffer {};
    while (read.find("event=log_lines_dropped") == std::string::npos) {
        const auto count = ::read(pipe[0], buffer.data(), buffer.size());
        cr_assert_gt(count, 0);
        read.append(buffer.data(), static_cast<std::size_t>(count));
        writer.write("more\n");
    }
}

// Guards against a log that grows without bound under load, and against suppressed lines that are not counted.
Test(eventRate, floodsAreLimitedAndCounted)
{
    const std::chrono::steady_clock::time_point start { 1'000s };
    int written = 0;
    for (int i = 0; i < 5'000; ++i) {
        if (takeEventPermit("flood", start))
            ++written;
    }
    cr_assert_eq(written, static_cast<int>(eventBurst));
    // Each event has its own limit.
    cr_assert(takeEventPermit("other", start).has_value());
    const auto later = takeEventPermit("flood", start + 1s);
    cr_assert(later.has_value());
    cr_assert_eq(later->suppressed, 5'000 - written);
}
