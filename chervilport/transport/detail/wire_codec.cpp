#include "chervilport/transport/detail/wire_codec.h"

#include "chervilport/core/chervilport_error.h"

#include <algorithm>
#include <limits>
#include <type_traits>
#include <utility>

namespace chervilport {

namespace {

    capnp::Data::Reader bytesOf(const std::string& text)
    {
        return { reinterpret_cast<const kj::byte*>(text.data()), text.size() };
    }

    std::string stringOf(capnp::Data::Reader data)
    {
        return { reinterpret_cast<const char*>(data.begin()), data.size() };
    }

    std::string stringOf(capnp::Text::Reader text) { return { text.begin(), text.size() }; }

    capnp::Text::Reader textOf(const std::string& text) { return { text.c_str(), text.size() }; }

    unsigned countOf(std::size_t size)
    {
        // A Cap'n Proto list holds fewer than 2^29 elements.
        if (size >= (std::size_t { 1 } << 29))
            throw chervilport_error(error_kind::TooLarge,
                "a list of " + std::to_string(size) + " elements is too long for a message between instances");
        return static_cast<unsigned>(size);
    }

    [[noreturn]] void throwMalformed(const char* what)
    {
        throw chervilport_error(error_kind::InvalidRequest, std::string("malformed message from a peer: ") + what);
    }

    void writeMembers(capnp::List<wire::Member>::Builder list, const std::vector<member>& members)
    {
        for (unsigned i = 0; i < list.size(); ++i) {
            list[i].setId(static_cast<std::uint64_t>(members[i].id));
            list[i].setIncarnation(members[i].incarnation);
            list[i].setHasDisk(members[i].hasDisk);
        }
    }

    std::vector<member> readMembers(capnp::List<wire::Member>::Reader list)
    {
        std::vector<member> members;
        members.reserve(list.size());
        for (auto each : list)
            members.push_back({ member_id { each.getId() }, each.getIncarnation(), each.getHasDisk() });
        return members;
    }

    void writeSnapshot(wire::Snapshot::Builder builder, const snapshot& value)
    {
        builder.setIndex(value.index);
        builder.setTerm(value.term);
        auto members = builder.initMembers();
        writeMembers(members.initVoters(countOf(value.members.voters.size())), value.members.voters);
        writeMembers(members.initLearners(countOf(value.members.learners.size())), value.members.learners);
        builder.setData(bytesOf(value.data));
    }

    snapshot readSnapshot(wire::Snapshot::Reader reader)
    {
        snapshot value;
        value.index = reader.getIndex();
        value.term = reader.getTerm();
        value.members.voters = readMembers(reader.getMembers().getVoters());
        value.members.learners = readMembers(reader.getMembers().getLearners());
        value.data = stringOf(reader.getData());
        return value;
    }

    void writeEntries(capnp::List<wire::LogEntry>::Builder list, const std::vector<log_entry>& entries)
    {
        for (unsigned i = 0; i < list.size(); ++i) {
            list[i].setIndex(entries[i].index);
            list[i].setTerm(entries[i].term);
            list[i].setKind(static_cast<wire::EntryKind>(entries[i].kind));
            if (!entries[i].payload.empty())
                list[i].setPayload(bytesOf(entries[i].payload));
        }
    }

    std::vector<log_entry> readEntries(capnp::List<wire::LogEntry>::Reader list)
    {
        std::vector<log_entry> entries;
        entries.reserve(list.size());
        for (auto each : list) {
            if (each.getKind() > wire::EntryKind::MEMBERSHIP)
                throwMalformed("unknown kind of log entry");
            entries.push_back({ each.getIndex(), each.getTerm(), static_cast<entry_kind>(each.getKind()),
                stringOf(each.getPayload()) });
        }
        return entries;
    }

    /// Writes each kind of body into the union of a message.
    struct body_writer {
        wire::Message::Body::Builder body;

        void operator()(const vote_request& value)
        {
            auto builder = body.initVoteRequest();
            builder.setPreVote(value.preVote);
            builder.setTransfer(value.transfer);
            builder.setLastIndex(value.lastIndex);
            builder.setLastTerm(value.lastTerm);
        }

        void operator()(const vote_response& value)
        {
            auto builder = body.initVoteResponse();
            builder.setPreVote(value.preVote);
            builder.setGranted(value.granted);
        }

        void operator()(const append_request& value)
        {
            auto builder = body.initAppendRequest();
            builder.setPreviousIndex(value.previousIndex);
            builder.setPreviousTerm(value.previousTerm);
            builder.setCommitIndex(value.commitIndex);
            builder.setRound(value.round);
            if (!value.entries.empty())
                writeEntries(builder.initEntries(countOf(value.entries.size())), value.entries);
        }

        void operator()(const append_response& value)
        {
            auto builder = body.initAppendResponse();
            builder.setAccepted(value.accepted);
            builder.setMatchIndex(value.matchIndex);
            builder.setRound(value.round);
        }

        void operator()(const snapshot_request& value)
        {
            auto builder = body.initSnapshotRequest();
            writeSnapshot(builder.initContent(), value.content);
            builder.setRound(value.round);
        }

        void operator()(const transfer_request&) { body.setTransferRequest(); }
    };

    append_request readAppendRequest(wire::AppendRequest::Reader reader)
    {
        return { reader.getPreviousIndex(), reader.getPreviousTerm(), reader.getCommitIndex(), reader.getRound(),
            readEntries(reader.getEntries()) };
    }

    decltype(message::body) readBody(wire::Message::Body::Reader reader)
    {
        switch (reader.which()) {
        case wire::Message::Body::VOTE_REQUEST: {
            auto value = reader.getVoteRequest();
            return vote_request { value.getPreVote(), value.getTransfer(), value.getLastIndex(), value.getLastTerm() };
        }
        case wire::Message::Body::VOTE_RESPONSE: {
            auto value = reader.getVoteResponse();
            return vote_response { value.getPreVote(), value.getGranted() };
        }
        case wire::Message::Body::APPEND_REQUEST:
            return readAppendRequest(reader.getAppendRequest());
        case wire::Message::Body::APPEND_RESPONSE: {
            auto value = reader.getAppendResponse();
            return append_response { value.getAccepted(), value.getMatchIndex(), value.getRound() };
        }
        case wire::Message::Body::SNAPSHOT_REQUEST: {
            auto value = reader.getSnapshotRequest();
            return snapshot_request { readSnapshot(value.getContent()), value.getRound() };
        }
        case wire::Message::Body::TRANSFER_REQUEST:
            return transfer_request {};
        }
        throwMalformed("unknown kind of replication message");
    }

    void writeMessage(wire::Message::Builder builder, const message& value)
    {
        builder.setFrom(static_cast<std::uint64_t>(value.from));
        builder.setFromIncarnation(value.fromIncarnation);
        builder.setTo(static_cast<std::uint64_t>(value.to));
        builder.setTerm(value.term);
        std::visit(body_writer { builder.getBody() }, value.body);
    }

    message readMessage(wire::Message::Reader reader)
    {
        return { member_id { reader.getFrom() }, reader.getFromIncarnation(), member_id { reader.getTo() },
            reader.getTerm(), readBody(reader.getBody()) };
    }

    void writeHeaders(capnp::List<wire::Header>::Builder list, const std::vector<forward_header>& headers)
    {
        for (unsigned i = 0; i < list.size(); ++i) {
            list[i].setName(textOf(headers[i].name));
            list[i].setValue(textOf(headers[i].value));
        }
    }

    std::vector<forward_header> readHeaders(capnp::List<wire::Header>::Reader list)
    {
        std::vector<forward_header> headers;
        headers.reserve(list.size());
        for (auto each : list)
            headers.push_back({ stringOf(each.getName()), stringOf(each.getValue()) });
        return headers;
    }

} // namespace

void writeEnvelope(wire::Envelope::Builder builder, const envelope& value)
{
    builder.setConfigurationVersion(value.configurationVersion);
    if (!value.messages.empty()) {
        auto list = builder.initMessages(countOf(value.messages.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            list[i].setScope(static_cast<wire::Scope>(value.messages[i].scope));
            writeMessage(list[i].initContent(), value.messages[i].content);
        }
    }
    if (!value.notices.empty()) {
        auto list = builder.initNotices(countOf(value.notices.size()));
        for (unsigned i = 0; i < list.size(); ++i)
            list.set(i, bytesOf(value.notices[i]));
    }
}

envelope readEnvelope(wire::Envelope::Reader reader)
{
    envelope value;
    value.configurationVersion = reader.getConfigurationVersion();
    auto messages = reader.getMessages();
    value.messages.reserve(messages.size());
    for (auto each : messages) {
        if (each.getScope() > wire::Scope::FLEET)
            throwMalformed("unknown scope");
        value.messages.push_back({ static_cast<replication_scope>(each.getScope()), readMessage(each.getContent()) });
    }
    auto notices = reader.getNotices();
    value.notices.reserve(notices.size());
    for (auto each : notices)
        value.notices.push_back(stringOf(each));
    return value;
}

void writeCall(wire::Call::Builder builder, const forward_call& value)
{
    builder.setMethod(textOf(value.method));
    builder.setPath(textOf(value.path));
    writeHeaders(builder.initHeaders(countOf(value.headers.size())), value.headers);
    builder.setBody(bytesOf(value.body));
    builder.setDeadlineMs(static_cast<std::uint64_t>(std::max<std::int64_t>(value.remaining.count(), 0)));
}

forward_call readCall(wire::Call::Reader reader)
{
    // Longer deadlines could overflow the arithmetic of timers; no caller waits for a day.
    constexpr std::uint64_t maxDeadlineMs = 24ULL * 60 * 60 * 1000;
    forward_call value;
    value.method = stringOf(reader.getMethod());
    value.path = stringOf(reader.getPath());
    value.headers = readHeaders(reader.getHeaders());
    value.body = stringOf(reader.getBody());
    value.remaining = std::chrono::milliseconds(std::min(reader.getDeadlineMs(), maxDeadlineMs));
    return value;
}

void writeReply(wire::CallReply::Builder builder, const forward_reply& value)
{
    if (const auto* refusal = std::get_if<forward_refusal>(&value)) {
        builder.setRefused(textOf(refusal->reason));
        return;
    }
    const auto& response = std::get<forward_response>(value);
    auto group = builder.initAnswer();
    group.setStatus(response.status);
    writeHeaders(group.initHeaders(countOf(response.headers.size())), response.headers);
    group.setBody(bytesOf(response.body));
}

forward_reply readReply(wire::CallReply::Reader reader)
{
    switch (reader.which()) {
    case wire::CallReply::REFUSED:
        return forward_refusal { stringOf(reader.getRefused()) };
    case wire::CallReply::ANSWER: {
        auto group = reader.getAnswer();
        return forward_response { group.getStatus(), readHeaders(group.getHeaders()), stringOf(group.getBody()) };
    }
    }
    throwMalformed("unknown kind of reply");
}

const char* textOf(wire::Refusal refusal)
{
    switch (refusal) {
    case wire::Refusal::WRONG_PROTOCOL:
        return "different protocol version";
    case wire::Refusal::STRANGER:
        return "different cluster id or secret";
    case wire::Refusal::OLD_INCARNATION:
        return "a newer incarnation has connected";
    case wire::Refusal::TOO_MANY_CONNECTIONS:
        return "too many connections are open";
    case wire::Refusal::OWN_ID:
        return "the instance id equals that of the listener";
    }
    return "unknown reason";
}

} // namespace chervilport
