// Starts the real programs for tests; each is ended by its process id.
#ifndef MIMOSACROFT_UNITTESTS_SUPPORT_PROCESS_HPP
#define MIMOSACROFT_UNITTESTS_SUPPORT_PROCESS_HPP

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace mimosacroft::tests
{

/// A program that runs until it is ended. Its log goes to `log`.
class process
{
public:
    process(const std::string& program, std::vector<std::string> args,
            const std::string& log, bool append = false)
    {
        const auto path = std::string(MIMOSA_BINARY_DIR "/") + program;
        args.insert(args.begin(), path);
        std::vector<char*> raw;
        for (auto& it : args)
            raw.push_back(it.data());
        raw.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(
            &files, 1, log.c_str(),
            O_CREAT | O_WRONLY | (append ? O_APPEND : O_TRUNC), 0644);
        posix_spawn_file_actions_adddup2(&files, 1, 2);
        const int ec = posix_spawn(&pid_, path.c_str(), &files, nullptr,
                                   raw.data(), environ);
        posix_spawn_file_actions_destroy(&files);
        if (ec != 0)
            throw std::runtime_error("cannot start " + path);
    }

    ~process()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::kill(pid_, SIGCONT);
        (void)wait();
    }

    process(const process&) = delete;
    process& operator=(const process&) = delete;

    pid_t id() const { return pid_; }

    void signal(int number) const { ::kill(pid_, number); }

    /// Whether it ended by itself, and was not waited for.
    bool ended() const
    {
        siginfo_t info{};
        return ::waitid(P_PID, static_cast<id_t>(pid_), &info,
                        WEXITED | WNOHANG | WNOWAIT) == 0 &&
               info.si_pid == pid_;
    }

    /// Waits for the end and gives the exit code, or -1 after a signal.
    int wait()
    {
        int status = 0;
        ::waitpid(pid_, &status, 0);
        pid_ = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

private:
    pid_t pid_ = 0;
};

} // namespace mimosacroft::tests

#endif
