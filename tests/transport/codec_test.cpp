#include "tests/transport/transport_node.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/transport/envelope_codec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace chervilport;

namespace {

std::uint64_t number() { return *rc::gen::arbitrary<std::uint64_t>(); }

bool flag() { return *rc::gen::arbitrary<bool>(); }

std::string bytes() { return *rc::gen::arbitrary<std::string>(); }

template <typename maker> auto listOf(maker make)
{
    std::vector<decltype(make())> list;
    const auto count = *rc::gen::inRange<std::size_t>(0, 4);
    list.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        list.push_back(make());
    return list;
}

member anyMember() { return { member_id { number() }, number(), flag() }; }

log_entry anyEntry()
{
    const auto kind = *rc::gen::element(entry_kind::Noop, entry_kind::Data, entry_kind::Membership);
    return { number(), number(), kind, bytes() };
}

decltype(message::body) anyBody(std::size_t kind)
{
    switch (kind) {
    case 0:
        return vote_request { flag(), flag(), number(), number() };
    case 1:
        return vote_response { flag(), flag() };
    case 2:
        return append_request { number(), number(), number(), number(), listOf(anyEntry) };
    case 3:
        return append_response { flag(), number(), number() };
    case 4:
        return snapshot_request { { number(), number(), { listOf(anyMember), listOf(anyMember) }, bytes() }, number() };
    default:
        return transfer_request {};
    }
}

envelope anyEnvelope()
{
    envelope content { number(), {}, listOf(bytes) };
    // Add one message of every kind.
    for (std::size_t kind = 0; kind < std::variant_size_v<decltype(message::body)>; ++kind) {
        const auto scope = flag() ? replication_scope::Domain : replication_scope::Fleet;
        content.messages.push_back(
            { scope, { member_id { number() }, number(), member_id { number() }, number(), anyBody(kind) } });
    }
    return content;
}

/// Opens a TCP connection to a node.
int connectTo(const transport_node& server)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(server.transport.port());
    cr_assert_eq(::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    return fd;
}

/// Reads until the other end closes the connection.
void drain(int fd)
{
    char rest[4096];
    while (::recv(fd, rest, sizeof(rest), 0) > 0)
        continue;
    ::close(fd);
}

/// Returns the numeric fields of a message, to compare messages, which have no operator ==.
std::vector<std::uint64_t> numbersOf(const scoped_message& value)
{
    const auto& content = value.content;
    std::vector<std::uint64_t> all { static_cast<std::uint64_t>(value.scope), static_cast<std::uint64_t>(content.from),
        content.fromIncarnation, static_cast<std::uint64_t>(content.to), content.term, content.body.index() };
    if (const auto* vote = std::get_if<vote_request>(&content.body))
        all.insert(all.end(), { vote->preVote, vote->transfer, vote->lastIndex, vote->lastTerm });
    else if (const auto* granted = std::get_if<vote_response>(&content.body))
        all.insert(all.end(), { granted->preVote, granted->granted });
    else if (const auto* append = std::get_if<append_request>(&content.body))
        all.insert(all.end(), { append->previousIndex, append->previousTerm, append->commitIndex, append->round });
    else if (const auto* appended = std::get_if<append_response>(&content.body))
        all.insert(all.end(), { appended->accepted, appended->matchIndex, appended->round });
    else if (const auto* install = std::get_if<snapshot_request>(&content.body))
        all.push_back(install->round);
    return all;
}

bool sameContent(const scoped_message& one, const scoped_message& other)
{
    if (numbersOf(one) != numbersOf(other))
        return false;
    if (const auto* append = std::get_if<append_request>(&one.content.body))
        return append->entries == std::get<append_request>(other.content.body).entries;
    if (const auto* install = std::get_if<snapshot_request>(&one.content.body))
        return install->content == std::get<snapshot_request>(other.content.body).content;
    return true;
}

} // namespace

// Guards against a field that is lost or swapped by the encoding.
Test(codec, every_kind_of_message_survives_the_round_trip)
{
    cr_assert(rc::check([] {
        const auto content = anyEnvelope();
        const auto copy = decodeEnvelope(encodeEnvelope(content));
        RC_ASSERT(copy.configurationVersion == content.configurationVersion);
        RC_ASSERT(copy.notices == content.notices);
        RC_ASSERT(copy.messages.size() == content.messages.size());
        for (std::size_t i = 0; i < copy.messages.size(); ++i)
            RC_ASSERT(sameContent(copy.messages[i], content.messages[i]));
    }));
}

// Guards against a crash or an endless loop on damaged bytes: they decode to any envelope or throw InvalidRequest.
Test(codec, damaged_bytes_are_refused_or_decoded)
{
    cr_assert(rc::check([] {
        auto encoded = encodeEnvelope(anyEnvelope());
        const auto position = *rc::gen::inRange<std::size_t>(0, encoded.size());
        encoded[position] = static_cast<char>(*rc::gen::arbitrary<unsigned char>());
        if (flag())
            encoded.resize(*rc::gen::inRange<std::size_t>(0, encoded.size()));
        try {
            decodeEnvelope(encoded);
        } catch (const chervilport_error& error) {
            RC_ASSERT(error.kind() == error_kind::InvalidRequest);
        }
    }));
}

// Guards against bytes that are not valid calls and stop the listener or use up its connections.
Test(codec, malformed_bytes_on_a_connection_end_only_that_connection)
{
    transport_node server(1);
    server.start();
    cr_assert(rc::check([&] {
        const int fd = connectTo(server);
        const auto malformed = "\x20" + std::string(3, '\0') + bytes() + std::string(40, 'x');
        ::send(fd, malformed.data(), malformed.size(), MSG_NOSIGNAL);
        ::shutdown(fd, SHUT_WR);
        drain(fd);
    }));
    transport_node sender(2);
    sender.start({ server.address(1) });
    sender.transport.send(member_id { 1 }, heartbeat(2, 1, 1));
    server.wait([&] { return server.envelopes.size() == 1; });
}

// Guards against memory reserved for unidentified peers: before hello, an announced length of 1 MiB ends the
// connection.
Test(codec, unidentified_peer_cannot_announce_a_large_message)
{
    transport_node server(1);
    server.start();
    const int fd = connectTo(server);
    const char length[] = { 0, 0, 16, 0 };
    ::send(fd, length, sizeof(length), MSG_NOSIGNAL);
    drain(fd);
}
