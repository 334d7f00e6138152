#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chervilport {

/// The file operations that storage uses. On failure they throw chervilport_error `StorageFailure` with the path. Tests
/// replace them with a fake that can lose unsynced data.
struct file_system {
    /// Creates or truncates a file for appending and returns its handle.
    std::function<int(const std::string& path)> create;
    /// Appends the bytes to the file of a handle.
    std::function<void(int handle, std::string_view bytes)> write;
    /// Makes the content of a file durable, but not its name in the folder.
    std::function<void(int handle)> sync;
    /// Closes a handle; never throws.
    std::function<void(int handle)> close;
    /// Returns the content of a file.
    std::function<std::string(const std::string& path)> read;
    /// Returns whether a file or folder exists.
    std::function<bool(const std::string& path)> exists;
    /// Returns the names of the files and folders in a folder, sorted.
    std::function<std::vector<std::string>(const std::string& path)> list;
    /// Creates a folder. Does nothing if the path exists.
    std::function<void(const std::string& path)> createFolder;
    /// Renames a file or folder. An existing file with the new name is replaced.
    std::function<void(const std::string& from, const std::string& to)> rename;
    /// Removes a file.
    std::function<void(const std::string& path)> remove;
    /// Makes the names in a folder durable.
    std::function<void(const std::string& path)> syncFolder;
    /// Creates a file if it is missing and locks it until the returned handle is closed. Throws when it is locked by
    /// another owner.
    std::function<int(const std::string& path)> lock;
};

/// Returns the operations on the file system of the machine.
file_system realFileSystem();

/// Owns a handle and closes it on destruction.
class file_handle {
public:
    /// Creates an object without a handle.
    file_handle() = default;
    /// Takes ownership of a handle. The file system must outlive this object.
    file_handle(const file_system& files, int handle)
        : m_files(&files)
        , m_handle(handle)
    {
    }
    file_handle(file_handle&& other) noexcept
        : m_files(other.m_files)
        , m_handle(other.m_handle)
    {
        other.m_files = nullptr;
    }
    file_handle& operator=(file_handle&& other) noexcept
    {
        std::swap(m_files, other.m_files);
        std::swap(m_handle, other.m_handle);
        return *this;
    }
    ~file_handle()
    {
        if (m_files != nullptr)
            m_files->close(m_handle);
    }

    /// Returns the handle.
    int get() const { return m_handle; }

private:
    const file_system* m_files = nullptr;
    int m_handle = -1;
};

/// Replaces a file atomically: after a crash it has either the old or the new content. Writes and syncs a temporary
/// file, renames it and syncs the folder. Returns a handle that appends to the new file.
file_handle replaceFile(
    const file_system&, const std::string& folder, const std::string& name, std::string_view content);

/// Suffix of temporary files; files left by a crash are removed at the next start.
inline constexpr std::string_view temporarySuffix = ".tmp";

} // namespace chervilport
