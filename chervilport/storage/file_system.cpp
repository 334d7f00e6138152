#include "chervilport/storage/file_system.h"

#include "chervilport/core/chervilport_error.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace chervilport {

namespace {

    constexpr mode_t fileMode = 0600;
    constexpr mode_t folderMode = 0700;

    [[noreturn]] void fail(const char* operation, const std::string& path)
    {
        const int code = errno;
        throw chervilport_error(
            error_kind::StorageFailure, std::string(operation) + " of " + path + " failed: " + std::strerror(code));
    }

    int openFile(const std::string& path, int flags)
    {
        const int handle = ::open(path.c_str(), flags | O_CLOEXEC, fileMode);
        if (handle < 0)
            fail("open", path);
        return handle;
    }

    [[noreturn]] void fail(const char* operation, int handle)
    {
        const int code = errno;
        std::error_code error;
        const auto path = std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(handle), error).string();
        errno = code;
        fail(operation, error ? "file handle " + std::to_string(handle) : path);
    }

    void writeAll(int handle, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto count = ::write(handle, bytes.data(), bytes.size());
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0)
                fail("write", handle);
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
    }

    void syncHandle(int handle)
    {
        // A failed sync is never retried: the kernel may have dropped the pages that it could not write, and would then
        // report success.
        if (::fdatasync(handle) != 0)
            fail("sync", handle);
    }

    std::string readFile(const std::string& path)
    {
        const int handle = openFile(path, O_RDONLY);
        struct stat info { };
        std::string content;
        bool succeeded = ::fstat(handle, &info) == 0;
        if (succeeded)
            content.resize(static_cast<std::size_t>(info.st_size));
        std::size_t bytesRead = 0;
        while (succeeded && bytesRead < content.size()) {
            const auto count = ::read(handle, content.data() + bytesRead, content.size() - bytesRead);
            if (count < 0 && errno == EINTR)
                continue;
            succeeded = count > 0;
            if (succeeded)
                bytesRead += static_cast<std::size_t>(count);
        }
        const int code = errno;
        ::close(handle);
        errno = code;
        if (!succeeded)
            fail("read", path);
        return content;
    }

    std::vector<std::string> listFolder(const std::string& path)
    {
        std::error_code error;
        std::vector<std::string> names;
        for (std::filesystem::directory_iterator each(path, error), end; !error && each != end; each.increment(error))
            names.push_back(each->path().filename().string());
        if (error) {
            errno = error.value();
            fail("listing", path);
        }
        std::sort(names.begin(), names.end());
        return names;
    }

    void createFolder(const std::string& path)
    {
        if (::mkdir(path.c_str(), folderMode) != 0 && errno != EEXIST)
            fail("creation", path);
    }

    void renameFile(const std::string& from, const std::string& to)
    {
        if (::rename(from.c_str(), to.c_str()) != 0)
            fail("rename", from);
    }

    void removeFile(const std::string& path)
    {
        if (::unlink(path.c_str()) != 0)
            fail("removal", path);
    }

    void syncFolder(const std::string& path)
    {
        const int handle = openFile(path, O_RDONLY | O_DIRECTORY);
        const bool succeeded = ::fsync(handle) == 0;
        const int code = errno;
        ::close(handle);
        errno = code;
        if (!succeeded)
            fail("sync", path);
    }

    int lockFile(const std::string& path)
    {
        const int handle = openFile(path, O_RDWR | O_CREAT);
        if (::flock(handle, LOCK_EX | LOCK_NB) == 0)
            return handle;
        const int code = errno;
        ::close(handle);
        errno = code;
        if (code == EWOULDBLOCK)
            throw chervilport_error(error_kind::StorageFailure, "another process owns the data folder: " + path);
        fail("lock", path);
    }

} // namespace

file_system realFileSystem()
{
    file_system files;
    files.create = [](const std::string& path) { return openFile(path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND); };
    files.write = writeAll;
    files.sync = syncHandle;
    files.close = [](int handle) { ::close(handle); };
    files.read = readFile;
    files.exists = [](const std::string& path) { return ::access(path.c_str(), F_OK) == 0; };
    files.list = listFolder;
    files.createFolder = createFolder;
    files.rename = renameFile;
    files.remove = removeFile;
    files.syncFolder = syncFolder;
    files.lock = lockFile;
    return files;
}

file_handle replaceFile(
    const file_system& files, const std::string& folder, const std::string& name, std::string_view content)
{
    const auto path = folder + "/" + name;
    const auto temporary = path + std::string(temporarySuffix);
    file_handle handle(files, files.create(temporary));
    files.write(handle.get(), content);
    files.sync(handle.get());
    files.rename(temporary, path);
    files.syncFolder(folder);
    return handle;
}

} // namespace chervilport
