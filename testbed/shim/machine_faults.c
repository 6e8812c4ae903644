/*
 * Makes system calls of one process fail, shortens its reads and writes, and steps its wall clock.
 *
 * Preloaded (LD_PRELOAD) into gateways that the lab starts, and into nothing else. FLEETLAB_FAULTS names a
 * text file, which is read again whenever it changes, so that faults begin and end while the process runs:
 *
 *     seed 7                       of the random numbers; LB_NAME is mixed in, so that processes differ
 *     folder /path                 disk faults hit only files below it
 *     clock -3600.0                seconds added to CLOCK_REALTIME; the monotonic clocks are left alone
 *     call socket 0.05 24,105 -1   a call, the chance that it fails, the errors drawn from, as numbers, and
 *                                  how often at most it is made to fail (-1: no bound)
 *     disk write 0.4 28,5 -1       the same for a call on a file below the folder
 *     short 0.3                    the chance that a read or write moves one byte alone
 *     seen /path                   a line is added there for each call that was made to fail
 *
 * A call that fails here has not been made, but for close, which closes the descriptor as Linux does.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MOST_RULES 64
#define MOST_ERRORS 16
#define MOST_FILES 65536
#define LOOK_NS 20000000LL /* between two looks at the control file */
#define LARGEST_CONTROL 16384

typedef struct {
    char call[24];
    int on_disk;
    double chance;
    int errors[MOST_ERRORS];
    int error_count;
    int most; /* failures that are still to come at most; below 0: no bound */
} rule;

static rule rules[MOST_RULES];
static int rule_count;
static double short_chance, clock_step;
static char folder[PATH_MAX], seen_path[PATH_MAX], control_path[PATH_MAX];
static uint64_t state = 88172645463325252ULL, last_seed;
static long long looked_at;
static struct timespec control_changed;
static off_t control_size = -1;
static unsigned char below_folder[MOST_FILES], is_socket[MOST_FILES];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static __thread int inside;

static long long monotonic_ns(void) {
    struct timespec now;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000000000LL + now.tv_nsec;
}

static double draw(void) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return (double)(state >> 11) / (double)(1ULL << 53);
}

static void seed_with(uint64_t seed) {
    if (seed == last_seed) return; /* the same draws go on when other lines change */
    last_seed = seed;
    state = seed * 6364136223846793005ULL + 1442695040888963407ULL;
    const char *name = getenv("LB_NAME");
    for (; name && *name; name++) state = (state ^ (unsigned char)*name) * 1099511628211ULL;
    if (!state) state = 1;
    for (int i = 0; i < 8; i++) draw();
}

static void read_rule(char *line, int on_disk) {
    if (rule_count >= MOST_RULES) return;
    rule *one = &rules[rule_count];
    char listed[256];
    one->most = -1;
    if (sscanf(line, "%23s %lf %255s %d", one->call, &one->chance, listed, &one->most) < 3) return;
    one->on_disk = on_disk;
    one->error_count = 0;
    char *rest = NULL;
    for (char *word = strtok_r(listed, ",", &rest); word && one->error_count < MOST_ERRORS;
         word = strtok_r(NULL, ",", &rest))
        one->errors[one->error_count++] = atoi(word);
    if (one->error_count) rule_count++;
}

static void read_control(char *text) {
    rule_count = 0;
    short_chance = clock_step = 0;
    folder[0] = seen_path[0] = 0;
    char *rest = NULL;
    for (char *line = strtok_r(text, "\n", &rest); line; line = strtok_r(NULL, "\n", &rest)) {
        unsigned long long seed;
        if (sscanf(line, "seed %llu", &seed) == 1) seed_with(seed);
        else if (!strncmp(line, "folder ", 7)) snprintf(folder, sizeof folder, "%s", line + 7);
        else if (!strncmp(line, "seen ", 5)) snprintf(seen_path, sizeof seen_path, "%s", line + 5);
        else if (!strncmp(line, "clock ", 6)) clock_step = atof(line + 6);
        else if (!strncmp(line, "short ", 6)) short_chance = atof(line + 6);
        else if (!strncmp(line, "call ", 5)) read_rule(line + 5, 0);
        else if (!strncmp(line, "disk ", 5)) read_rule(line + 5, 1);
    }
}

/* Reads the control file with bare system calls, so that its own faults don't hit it. */
static void look(void) {
    long long now = monotonic_ns();
    if (looked_at && now - looked_at < LOOK_NS) return;
    looked_at = now;
    if (!control_path[0]) {
        const char *named = getenv("FLEETLAB_FAULTS");
        if (!named) return;
        snprintf(control_path, sizeof control_path, "%s", named);
    }
    int fd = (int)syscall(SYS_openat, AT_FDCWD, control_path, O_RDONLY | O_CLOEXEC, 0);
    if (fd < 0) return;
    struct stat found;
    if (syscall(SYS_fstat, fd, &found) == 0 &&
        (found.st_size != control_size || found.st_mtim.tv_sec != control_changed.tv_sec ||
         found.st_mtim.tv_nsec != control_changed.tv_nsec)) {
        static char text[LARGEST_CONTROL];
        ssize_t got = syscall(SYS_read, fd, text, sizeof text - 1);
        if (got >= 0) {
            text[got] = 0;
            read_control(text);
            control_size = found.st_size;
            control_changed = found.st_mtim;
        }
    }
    syscall(SYS_close, fd);
}

static void tell(const char *call, int error) {
    if (!seen_path[0]) return;
    char line[96];
    int length = snprintf(line, sizeof line, "%lld %s %d\n", monotonic_ns() / 1000, call, error);
    int fd = (int)syscall(SYS_openat, AT_FDCWD, seen_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd >= 0) {
        syscall(SYS_write, fd, line, length);
        syscall(SYS_close, fd);
    }
}

/* The error that a call is to fail with; 0: it is made. */
static int fails(const char *call, int on_disk) {
    if (inside) return 0;
    int error = 0;
    pthread_mutex_lock(&lock);
    inside = 1;
    look();
    for (int i = 0; i < rule_count && !error; i++) {
        rule *one = &rules[i];
        if (one->on_disk != on_disk || !one->most || strcmp(one->call, call) || draw() >= one->chance) continue;
        error = one->errors[(int)(draw() * one->error_count)];
        if (one->most > 0) one->most--;
    }
    if (error) tell(call, error);
    inside = 0;
    pthread_mutex_unlock(&lock);
    return error;
}

static size_t shortened(size_t length) {
    if (inside || length <= 1) return length;
    pthread_mutex_lock(&lock);
    inside = 1;
    look();
    size_t given = short_chance > 0 && draw() < short_chance ? 1 : length;
    inside = 0;
    pthread_mutex_unlock(&lock);
    return given;
}

static int on_disk(int fd) { return fd >= 0 && fd < MOST_FILES && below_folder[fd]; }
static int on_socket(int fd) { return fd >= 0 && fd < MOST_FILES && is_socket[fd]; }

static int in_folder(const char *path) {
    if (!path || !folder[0]) return 0;
    return !strncmp(path, folder, strlen(folder));
}

static void opened(int fd, int disk, int socket) {
    if (fd >= 0 && fd < MOST_FILES) below_folder[fd] = disk, is_socket[fd] = socket;
}

#define REAL(name, ...) \
    static __typeof__(name) *real; \
    if (!real) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)
#define MAY_FAIL(what, disk) \
    do { int error_ = fails(what, disk); if (error_) { errno = error_; return -1; } } while (0)

/* ---- sockets ---- */

int socket(int domain, int type, int protocol) {
    REAL(socket);
    MAY_FAIL("socket", 0);
    int fd = real(domain, type, protocol);
    opened(fd, 0, 1);
    return fd;
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(bind);
    MAY_FAIL("bind", 0);
    return real(fd, address, length);
}

int listen(int fd, int backlog) {
    REAL(listen);
    MAY_FAIL("listen", 0);
    return real(fd, backlog);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    MAY_FAIL("connect", 0);
    return real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    MAY_FAIL("accept", 0);
    int made = real(fd, address, length, flags);
    opened(made, 0, 1);
    return made;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept);
    MAY_FAIL("accept", 0);
    int made = real(fd, address, length);
    opened(made, 0, 1);
    return made;
}

int getsockopt(int fd, int level, int name, void *value, socklen_t *length) {
    REAL(getsockopt);
    MAY_FAIL("getsockopt", 0);
    return real(fd, level, name, value, length);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length) {
    REAL(setsockopt);
    MAY_FAIL("setsockopt", 0);
    return real(fd, level, name, value, length);
}

int getpeername(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(getpeername);
    MAY_FAIL("getpeername", 0);
    return real(fd, address, length);
}

int getsockname(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(getsockname);
    MAY_FAIL("getsockname", 0);
    return real(fd, address, length);
}

int shutdown(int fd, int how) {
    REAL(shutdown);
    MAY_FAIL("shutdown", 0);
    return real(fd, how);
}

int socketpair(int domain, int type, int protocol, int fds[2]) {
    REAL(socketpair);
    MAY_FAIL("socketpair", 0);
    return real(domain, type, protocol, fds);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    REAL(recv);
    MAY_FAIL("recv", 0);
    return real(fd, buffer, shortened(length), flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    REAL(send);
    MAY_FAIL("send", 0);
    return real(fd, buffer, shortened(length), flags);
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags) {
    REAL(recvmsg);
    MAY_FAIL("recv", 0);
    return real(fd, message, flags);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    MAY_FAIL("send", 0);
    return real(fd, message, flags);
}

ssize_t recvfrom(int fd, void *buffer, size_t length, int flags, struct sockaddr *from, socklen_t *size) {
    REAL(recvfrom);
    MAY_FAIL("recv", 0);
    return real(fd, buffer, length, flags, from, size);
}

ssize_t sendto(int fd, const void *buffer, size_t length, int flags, const struct sockaddr *to, socklen_t size) {
    REAL(sendto);
    MAY_FAIL("send", 0);
    return real(fd, buffer, length, flags, to, size);
}

/* ---- waiting ---- */

int epoll_ctl(int epoll, int what, int fd, struct epoll_event *event) {
    REAL(epoll_ctl);
    if (what != EPOLL_CTL_DEL) MAY_FAIL("epoll_ctl", 0);
    return real(epoll, what, fd, event);
}

int epoll_pwait(int epoll, struct epoll_event *events, int most, int wait, const sigset_t *mask) {
    REAL(epoll_pwait);
    MAY_FAIL("epoll_wait", 0);
    return real(epoll, events, most, wait, mask);
}

int epoll_wait(int epoll, struct epoll_event *events, int most, int wait) {
    REAL(epoll_wait);
    MAY_FAIL("epoll_wait", 0);
    return real(epoll, events, most, wait);
}

int poll(struct pollfd *fds, nfds_t count, int wait) {
    REAL(poll);
    MAY_FAIL("poll", 0);
    return real(fds, count, wait);
}

int eventfd(unsigned int value, int flags) {
    REAL(eventfd);
    MAY_FAIL("eventfd", 0);
    return real(value, flags);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*run)(void *), void *given) {
    REAL(pthread_create);
    int error = fails("thread", 0); /* it gives its error, and sets no errno */
    return error ? error : real(thread, attributes, run, given);
}

/* ---- files, and reads and writes of either ---- */

static int open_with(const char *path, int flags, mode_t mode) {
    int disk = in_folder(path);
    MAY_FAIL("open", disk);
    int fd = (int)syscall(SYS_openat, AT_FDCWD, path, flags, mode);
    if (fd == -1) return -1;
    opened(fd, disk, 0);
    return fd;
}

int open(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    return open_with(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    return open_with(path, flags | O_LARGEFILE, mode);
}

#define FAIL_BY_FILE(call, fd) \
    do { if (on_disk(fd) || on_socket(fd)) MAY_FAIL(call, on_disk(fd)); } while (0)

ssize_t read(int fd, void *buffer, size_t length) {
    REAL(read);
    FAIL_BY_FILE("read", fd);
    return real(fd, buffer, on_socket(fd) ? shortened(length) : length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    REAL(write);
    FAIL_BY_FILE("write", fd);
    return real(fd, buffer, on_socket(fd) || on_disk(fd) ? shortened(length) : length);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    FAIL_BY_FILE("write", fd);
    if (on_socket(fd) && count > 0 && shortened(2) == 1) {
        struct iovec one = {parts[0].iov_base, parts[0].iov_len ? 1 : 0};
        if (one.iov_len) return real(fd, &one, 1);
    }
    return real(fd, parts, count);
}

ssize_t pwrite64(int fd, const void *buffer, size_t length, off64_t at) {
    REAL(pwrite64);
    FAIL_BY_FILE("write", fd);
    return real(fd, buffer, on_disk(fd) ? shortened(length) : length, at);
}

ssize_t pwrite(int fd, const void *buffer, size_t length, off_t at) {
    REAL(pwrite);
    FAIL_BY_FILE("write", fd);
    return real(fd, buffer, on_disk(fd) ? shortened(length) : length, at);
}

int fsync(int fd) {
    REAL(fsync);
    FAIL_BY_FILE("fsync", fd);
    return real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    FAIL_BY_FILE("fsync", fd);
    return real(fd);
}

int ftruncate(int fd, off_t length) {
    REAL(ftruncate);
    FAIL_BY_FILE("ftruncate", fd);
    return real(fd, length);
}

int ftruncate64(int fd, off64_t length) {
    REAL(ftruncate64);
    FAIL_BY_FILE("ftruncate", fd);
    return real(fd, length);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    MAY_FAIL("rename", in_folder(to));
    return real(from, to);
}

int close(int fd) {
    REAL(close);
    int disk = on_disk(fd), socket = on_socket(fd);
    opened(fd, 0, 0);
    int error = disk || socket ? fails("close", disk) : 0;
    int closed = real(fd);
    if (error) {
        errno = error;
        return -1;
    }
    return closed;
}

/* ---- the wall clock ---- */

int clock_gettime(clockid_t which, struct timespec *now) {
    int failed = (int)syscall(SYS_clock_gettime, which, now);
    if (failed || (which != CLOCK_REALTIME && which != CLOCK_REALTIME_COARSE) || inside) return failed;
    pthread_mutex_lock(&lock);
    inside = 1;
    look();
    double step = clock_step;
    inside = 0;
    pthread_mutex_unlock(&lock);
    long long ns = now->tv_sec * 1000000000LL + now->tv_nsec + (long long)(step * 1e9);
    now->tv_sec = ns / 1000000000LL;
    now->tv_nsec = ns % 1000000000LL;
    return 0;
}
