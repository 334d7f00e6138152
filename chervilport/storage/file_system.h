#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chervilport {

/// The file operations of the storage. All of them throw chervilport_error `StorageFailure` that names the path. Tests
/// replace them with a fake that loses what was not synced.
struct file_system {
    /// Creates or empties a file for writing and returns its handle.
    std::function<int(const std::string& path)> create;
    /// Appends all bytes to the file of a handle.
    std::function<void(int handle, std::string_view bytes)> write;
    /// Makes the content of a file durable, but not its name.
    std::function<void(int handle)> sync;
    /// Closes a handle; never throws.
    std::function<void(int handle)> close;
    /// Returns the content of a file.
    std::function<std::string(const std::string& path)> read;
    /// Returns whether a file or folder exists.
    std::function<bool(const std::string& path)> exists;
    /// Returns the names in a folder, sorted.
    std::function<std::vector<std::string>(const std::string& path)> list;
    /// Creates a folder; one that exists is left as it is.
    std::function<void(const std::string& path)> createFolder;
    /// Renames a file or folder; a file that has the new name is replaced.
    std::function<void(const std::string& from, const std::string& to)> rename;
    /// Removes a file.
    std::function<void(const std::string& path)> remove;
    /// Makes the names in a folder durable.
    std::function<void(const std::string& path)> syncFolder;
    /// Creates a file and locks it for this process until the handle is closed. Throws when another owner has it.
    std::function<int(const std::string& path)> lock;
};

/// Returns the operations on the files of the machine.
file_system realFileSystem();

/// A handle that is closed with its owner.
class file_handle {
public:
    /// Holds no handle.
    file_handle() = default;
    /// Takes over a handle of a file system that outlives this object.
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

/// Writes a file so that after a crash either the old or the new content is there: temporary file, sync, rename, sync
/// of the folder. Returns the handle, which appends to the new file.
file_handle replaceFile(
    const file_system&, const std::string& folder, const std::string& name, std::string_view content);

/// Suffix of files that are not complete; they are removed at the next start.
inline constexpr std::string_view temporarySuffix = ".tmp";

} // namespace chervilport
