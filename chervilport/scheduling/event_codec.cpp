#include "chervilport/scheduling/event_codec.h"

#include "chervilport/scheduling/field_lists.h"

#include <cstddef>
#include <cstdint>
#include <variant>

namespace chervilport {

template <typename Archive> void visitFields(Archive& archive, job_submitted& value)
{
    visitFields(archive, value.spec);
}

template <typename Archive> void visitFields(Archive& archive, job_cancelled& value)
{
    visitFields(archive, value.job);
}

template <typename Archive> void visitFields(Archive& archive, worker_joined& value)
{
    visitFields(archive, value.worker);
    visitFields(archive, value.incarnation);
    visitFields(archive, value.rack);
    visitFields(archive, value.rackPosition);
    visitFields(archive, value.capacity);
    visitFields(archive, value.tasks);
}

template <typename Archive> void visitFields(Archive& archive, worker_leaving& value)
{
    visitFields(archive, value.worker);
}

template <typename Archive> void visitFields(Archive& archive, worker_lost& value)
{
    visitFields(archive, value.worker);
}

template <typename Archive> void visitFields(Archive& archive, task_started& value)
{
    visitFields(archive, value.worker);
    visitFields(archive, value.task);
}

template <typename Archive> void visitFields(Archive& archive, task_ended& value)
{
    visitFields(archive, value.worker);
    visitFields(archive, value.task);
    visitFields(archive, value.succeeded);
}

template <typename Archive> void visitFields(Archive& archive, task_stopped& value)
{
    visitFields(archive, value.worker);
    visitFields(archive, value.task);
    visitFields(archive, value.checkpointed);
}

template <typename Archive> void visitFields(Archive& archive, usage_reported& value)
{
    visitFields(archive, value.worker);
    visitFields(archive, value.task);
    visitFields(archive, value.use);
    visitFields(archive, value.measuredAt);
}

template <typename Archive> void visitFields(Archive&, timer_fired&) { }

namespace {

    /// Version of the format; the first field.
    constexpr std::int64_t eventFormat = 1;

    /// Makes the alternative with the given index.
    template <std::size_t Index = 0> event makeAlternative(std::int64_t index)
    {
        if constexpr (Index < std::variant_size_v<event>) {
            if (index == static_cast<std::int64_t>(Index))
                return event(std::in_place_index<Index>);
            return makeAlternative<Index + 1>(index);
        } else {
            throwDecodeError("event kind " + std::to_string(index) + " is unknown");
        }
    }

} // namespace

std::string encodeEvent(const event& input)
{
    field_writer writer;
    auto format = eventFormat;
    writer.number(format);
    auto index = static_cast<std::int64_t>(input.index());
    writer.number(index);
    auto copy = input;
    std::visit([&](auto& alternative) { visitFields(writer, alternative); }, copy);
    return writer.bytes();
}

event decodeEvent(std::string_view bytes)
{
    field_reader reader(bytes);
    std::int64_t format = 0;
    reader.number(format);
    if (format != eventFormat)
        throwDecodeError("event format version " + std::to_string(format) + " is unknown");
    std::int64_t index = 0;
    reader.number(index);
    auto result = makeAlternative(index);
    std::visit([&](auto& alternative) { visitFields(reader, alternative); }, result);
    reader.finish();
    return result;
}

} // namespace chervilport
