#include "chervilport/storage/recovery.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/storage/log_record.h"
#include "chervilport/storage/record.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::string_view segmentPrefix = "segment-";
    constexpr std::string_view segmentSuffix = ".log";
    constexpr std::string_view snapshotPrefix = "snapshot-";
    constexpr std::string_view snapshotSuffix = ".snap";

    /// Fixed number of digits in a file name, so that names sort by number.
    constexpr std::size_t nameDigits = 20;

    std::string numberedName(std::string_view prefix, std::uint64_t number, std::string_view suffix)
    {
        const auto digits = std::to_string(number);
        std::string name(prefix);
        name.append(nameDigits - digits.size(), '0');
        name.append(digits);
        name.append(suffix);
        return name;
    }

    std::optional<std::uint64_t> parseNumberedName(
        std::string_view name, std::string_view prefix, std::string_view suffix)
    {
        if (!name.starts_with(prefix) || !name.ends_with(suffix) || name.size() <= prefix.size() + suffix.size())
            return std::nullopt;
        const auto digits = name.substr(prefix.size(), name.size() - prefix.size() - suffix.size());
        std::uint64_t number = 0;
        const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        if (result.ec != std::errc() || result.ptr != digits.data() + digits.size())
            return std::nullopt;
        return number;
    }

    std::string pathIn(const std::string& folder, const std::string& name) { return folder + "/" + name; }

    [[noreturn]] void throwDamaged(const std::string& path, std::size_t offset, const std::string& what)
    {
        throw chervilport_error(error_kind::StorageFailure,
            "damaged record in " + path + " at offset " + std::to_string(offset) + ": " + what);
    }

    /// Replays the records of the segments in order and fills a `recovered_group`.
    class replay {
    public:
        replay(const file_system& files, std::string folder, recovered_group& group)
            : m_files(files)
            , m_folder(std::move(folder))
            , m_group(group)
        {
        }

        void readSegment(std::uint64_t number, bool isLast)
        {
            m_number = number;
            m_path = m_folder + "/" + segmentName(number);
            auto content = m_files.read(m_path);
            std::size_t offset = 0;
            while (offset < content.size()) {
                const auto scan = scanRecord(number, content, offset);
                if (!scan.valid) {
                    // A segment is renamed to its final name after its header is synced, and the next segment is
                    // started only after all of its records are synced.
                    if (!isLast || offset == 0 || !isTornTail(number, content, offset))
                        throwDamaged(
                            m_path, offset, "its checksum does not match and synced data follows or is part of it");
                    m_group.discardedBytes = content.size() - offset;
                    content.resize(offset);
                    break;
                }
                m_offset = offset;
                apply(scan.payload);
                offset = scan.next;
            }
            if (content.empty())
                throwDamaged(m_path, 0, "the segment is empty");
            if (isLast)
                m_group.lastSegmentContent = std::move(content);
        }

        void applySnapshot()
        {
            auto& index = m_group.index;
            const auto& taken = m_group.state.lastSnapshot;
            const auto covered = taken ? taken->index : 0;
            if (covered < index.base())
                throwDamaged(m_folder, 0, "the snapshot of index " + std::to_string(index.base()) + " is missing");
            if (covered > index.base()) {
                // A crash occurred between writing the snapshot and writing its base record.
                const base_record record { covered, index.matches(covered, taken->term) };
                m_group.lastSegmentContent
                    += encodeRecord(m_group.segments.back(), m_group.lastSegmentContent.size(), encodeBase(record));
                setBase(record);
            }
            if (index.first() != index.base() + 1)
                throwDamaged(m_folder, 0, "the entries after index " + std::to_string(index.base()) + " are missing");
        }

    private:
        void apply(std::string_view payload)
        {
            auto record = decodeLogRecord(payload);
            if (!record)
                throwDamaged(m_path, m_offset, "its payload is not a valid log record");
            if (const auto* header = std::get_if<segment_header>(&*record))
                applyHeader(*header);
            else if (m_offset == 0)
                throwDamaged(m_path, m_offset, "it is not a segment header");
            else if (auto* step = std::get_if<step_record>(&*record))
                applyStep(std::move(*step));
            else
                setBase(std::get<base_record>(*record));
        }

        void applyHeader(const segment_header& header)
        {
            auto& hardState = m_group.state.hardState;
            if (header.number != m_number || m_offset != 0)
                throwDamaged(m_path, m_offset, "unexpected header of segment " + std::to_string(header.number));
            if (m_isFirstSegment) {
                m_isFirstSegment = false;
                hardState = header.hardState;
                setBase({ header.baseIndex, false });
            } else if (header.hardState != hardState || header.baseIndex != m_group.index.base()) {
                throwDamaged(m_path, m_offset, "the header does not match the previous segment");
            }
        }

        void applyStep(step_record step)
        {
            if (step.hardState)
                m_group.state.hardState = *step.hardState;
            auto& entries = m_group.state.entries;
            for (auto& entry : step.entries) {
                const auto index = entry.index;
                const auto first = m_group.index.first();
                if (!m_group.index.append(index, entry.term, m_number))
                    throwDamaged(m_path, m_offset, "entries before index " + std::to_string(index) + " are missing");
                entries.resize(index < first ? 0 : std::min<std::size_t>(entries.size(), index - first));
                entries.push_back(std::move(entry));
            }
        }

        void setBase(const base_record& base)
        {
            m_group.index.setBase(base.index, base.keepsLaterEntries);
            auto& entries = m_group.state.entries;
            const auto kept = m_group.index.last() + 1 - m_group.index.first();
            entries.erase(entries.begin(), entries.end() - static_cast<std::ptrdiff_t>(kept));
        }

        const file_system& m_files;
        std::string m_folder;
        recovered_group& m_group;
        std::uint64_t m_number = 0;
        std::string m_path;
        std::size_t m_offset = 0;
        bool m_isFirstSegment = true;
    };

    snapshot readSnapshot(const file_system& files, const std::string& path, std::uint64_t index)
    {
        const auto content = files.read(path);
        const auto scan = scanRecord(index, content, 0);
        if (!scan.valid || scan.next != content.size())
            throwDamaged(path, 0, "the checksum of the snapshot does not match");
        auto value = decodeSnapshot(scan.payload);
        if (!value || value->index != index)
            throwDamaged(path, 0, "it is not the snapshot of index " + std::to_string(index));
        return std::move(*value);
    }

} // namespace

std::string segmentName(std::uint64_t number) { return numberedName(segmentPrefix, number, segmentSuffix); }

std::string snapshotName(std::uint64_t index) { return numberedName(snapshotPrefix, index, snapshotSuffix); }

recovered_group recoverGroup(const file_system& files, const std::string& folder)
{
    // List the files and remove temporary ones.
    recovered_group group;
    for (const auto& name : files.list(folder)) {
        if (name.ends_with(temporarySuffix))
            files.remove(pathIn(folder, name));
        else if (const auto number = parseNumberedName(name, segmentPrefix, segmentSuffix))
            group.segments.push_back(*number);
        else if (const auto index = parseNumberedName(name, snapshotPrefix, snapshotSuffix))
            group.snapshots.push_back(*index);
    }

    // Read the newest snapshot. It was synced before it was renamed to its final name, so any damage is an error.
    if (!group.snapshots.empty()) {
        const auto newest = group.snapshots.back();
        group.state.lastSnapshot = readSnapshot(files, folder + "/" + snapshotName(newest), newest);
    }
    if (group.segments.empty()) {
        if (group.state.lastSnapshot)
            throwDamaged(folder, 0, "there is a snapshot but no segment");
        return group;
    }

    // Replay the segments.
    replay reader(files, folder, group);
    for (std::size_t i = 0; i < group.segments.size(); ++i) {
        if (i > 0 && group.segments[i] != group.segments[i - 1] + 1)
            throwDamaged(folder, 0, "segment " + std::to_string(group.segments[i - 1] + 1) + " is missing");
        reader.readSegment(group.segments[i], i + 1 == group.segments.size());
    }
    reader.applySnapshot();
    return group;
}

} // namespace chervilport
