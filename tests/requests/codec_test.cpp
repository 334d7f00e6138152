#include "chervilport/core/chervilport_error.h"
#include "chervilport/requests/announcement_codec.h"
#include "chervilport/requests/share_codec.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

const std::string announcementText = R"({"address":"10.0.0.1:80","kind":"executor","failure_domain":"seattle",)"
                                     R"("incarnation":7,"sequence":3,"state":"leaving","service":"pairing",)"
                                     R"("slots":8,"connections":60})";

template <typename Decode> bool isRefused(const std::string& bytes, const Decode& decode)
{
    try {
        decode(bytes);
    } catch (const chervilport_error& error) {
        return error.kind() == error_kind::InvalidRequest;
    }
    return false;
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

// Guards against an announcement that is decoded wrongly, or accepted although a member is missing or out of range.
Test(announcementCodec, rejectsInvalidAnnouncements)
{
    const auto announcement = parseExecutorAnnouncement(announcementText);
    cr_assert(announcement.id == upstream_id({ "10.0.0.1:80", 7 }) && announcement.sequence == 3);
    cr_assert(announcement.state == upstream_state::Leaving && announcement.slots == 8);
    cr_assert(parseExecutorAnnouncement(formatExecutorAnnouncement(announcement)) == announcement);
    const std::vector<std::pair<std::string, std::string>> faults
        = { { "executor", "worker" }, { "leaving", "away" }, { ":8,", ":-1," }, { ":8,", ":8.5," }, { ":7,", ":0," },
              { ":7,", ":18446744073709551615," }, { "\"slots\"", "\"slot\"" }, { "pairing", "" }, { "{", "[" } };
    for (const auto& [from, to] : faults)
        cr_expect(isRefused(replaced(announcementText, from, to), parseExecutorAnnouncement), "%s", to.c_str());
}

// Guards against shares that are lost or changed by encoding, and against truncated bytes that are accepted.
Test(shareCodec, roundTripsShares)
{
    const share_report report { "i1", 4, 9, { { { "a:1", 2 }, 3 }, { { "b:1", 1 }, 8 } }, { { "pairing", 17 } } };
    const auto bytes = encodeShareReport(report);
    const auto decoded = decodeShareReport(bytes);
    cr_assert(decoded.instance == "i1" && decoded.incarnation == 4 && decoded.sequence == 9);
    cr_assert(decoded.held == report.held && decoded.demand == report.demand);
    const auto grant = decodeShareGrant(encodeShareGrant({ 9, 10s, report.held }));
    cr_assert(grant.sequence == 9 && grant.leaseDuration == 10s && grant.shares == report.held);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        cr_assert(isRefused(bytes.substr(0, length), decodeShareReport));
}
