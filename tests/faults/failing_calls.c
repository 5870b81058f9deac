/* Fault injection: makes system calls of a process fail, return short or be delayed, as Linux documents that
 * they may.
 *
 * Preloaded into a process under test (LD_PRELOAD). The faults are configured in a file that the process maps
 * shared (FAULT_CONTROL); the test can change it at any time. See fault_control.py for its layout.
 * Faults apply only to AF_INET sockets and to files below FAULT_FOLDER, never to the event loop's descriptors.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum kind { ACCEPT, CONNECT, SOCKET, WAIT, SHORT_READ, SHORT_WRITE, BROKEN, HELD, FILE_CALL, PEEK, KINDS };
enum { MAX_ERRORS = 14, PER_MILLION = 1000000 };

struct fault {
    uint32_t share; /* of a million calls */
    uint32_t errors; /* number of entries set in `error`; for HELD, the first is the maximum delay in us */
    int32_t error[MAX_ERRORS];
};

struct control {
    int64_t wall_offset; /* nanoseconds by which the wall clock is off */
    uint64_t injected[KINDS];
    struct fault fault[KINDS];
};

static struct control none, *control = &none;
static char folder[4096];
static uint64_t state = 88172645463325252ull;

static uint64_t next_random(void) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

__attribute__((constructor)) static void start(void) {
    const char *path = getenv("FAULT_CONTROL"), *below = getenv("FAULT_FOLDER");
    const char *seed = getenv("FAULT_SEED");
    state ^= seed ? strtoull(seed, NULL, 10) * 0x9E3779B97F4A7C15ull : 0;
    for (int n = 0; n < 20; n++) next_random();
    if (below) strncpy(folder, below, sizeof folder - 1);
    if (!path) return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *at = mmap(NULL, sizeof none, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (at != MAP_FAILED) control = at;
    close(fd);
}

static int drawn(enum kind kind) {
    uint32_t share = control->fault[kind].share;
    if (!share || next_random() % PER_MILLION >= share) return 0;
    __atomic_fetch_add(&control->injected[kind], 1, __ATOMIC_RELAXED);
    return 1;
}

static int error_of(enum kind kind) {
    struct fault *fault = &control->fault[kind];
    return fault->errors ? fault->error[next_random() % fault->errors] : EIO;
}

/* Whether the call is to fail; sets errno. */
static int fails(enum kind kind) {
    if (!drawn(kind)) return 0;
    errno = error_of(kind);
    return 1;
}

static int is_network(int fd) {
    int domain = 0, before = errno;
    socklen_t size = sizeof domain;
    int known = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0;
    errno = before;
    return known && domain == AF_INET;
}

static int is_below(const char *path) {
    return folder[0] && path && strncmp(path, folder, strlen(folder)) == 0;
}

static int is_file_below(int fd) {
    char link[64], path[4096];
    int before = errno;
    if (!folder[0] || !control->fault[FILE_CALL].share) return 0;
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t size = readlink(link, path, sizeof path - 1);
    errno = before;
    if (size < 0) return 0;
    path[size] = 0;
    return is_below(path);
}

/* Delays the process for a random time, while its clocks run on. */
static void delay(void) {
    if (drawn(HELD)) {
        struct timespec wait = {0, 0};
        uint64_t longest = control->fault[HELD].error[0];
        wait.tv_nsec = (long)(next_random() % (longest + 1)) * 1000;
        nanosleep(&wait, NULL);
    }
}

/* A broken connection may be reported by other errors than a reset. */
static ssize_t broken(ssize_t result) {
    if (result < 0 && (errno == ECONNRESET || errno == EPIPE) && drawn(BROKEN)) errno = error_of(BROKEN);
    return result;
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    REAL(accept);
    return fails(ACCEPT) ? -1 : real(fd, address, size);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    return fails(ACCEPT) ? -1 : real(fd, address, size, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    return address && address->sa_family == AF_INET && fails(CONNECT) ? -1 : real(fd, address, size);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return domain == AF_INET && fails(SOCKET) ? -1 : real(domain, type, protocol);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int wait) {
    REAL(epoll_wait);
    return fails(WAIT) ? -1 : real(fd, events, most, wait);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int wait, const sigset_t *mask) {
    REAL(epoll_pwait);
    return fails(WAIT) ? -1 : real(fd, events, most, wait, mask);
}

static size_t shortened(int fd, size_t size, enum kind kind) {
    return size > 1 && control->fault[kind].share && is_network(fd) && drawn(kind) ? 1 + next_random() % (size - 1)
                                                                                   : size;
}

ssize_t read(int fd, void *data, size_t size) {
    REAL(read);
    /* Cut to a few bytes, as buffers are far larger than the input that waits. */
    size_t cut = size;
    if (shortened(fd, size, SHORT_READ) != size) cut = 1 + next_random() % 64;
    return broken(real(fd, data, cut < size ? cut : size));
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    REAL(recv);
    if (flags & MSG_PEEK && is_network(fd) && fails(PEEK)) return -1;
    return broken(real(fd, data, size, flags));
}

ssize_t write(int fd, const void *data, size_t size) {
    REAL(write);
    if (is_file_below(fd)) {
        if (fails(FILE_CALL)) return -1;
        return real(fd, data, size);
    }
    if (control->fault[HELD].share && is_network(fd)) delay();
    return broken(real(fd, data, shortened(fd, size, SHORT_WRITE)));
}

ssize_t writev(int fd, const struct iovec *pieces, int count) {
    REAL(writev);
    if (control->fault[HELD].share && is_network(fd)) delay();
    if (count > 0 && control->fault[SHORT_WRITE].share && is_network(fd) && drawn(SHORT_WRITE)) {
        struct iovec first = pieces[0];
        if (first.iov_len > 1) first.iov_len = 1 + next_random() % (first.iov_len - 1);
        return broken(real(fd, &first, 1));
    }
    return broken(real(fd, pieces, count));
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    if (control->fault[HELD].share && is_network(fd)) delay();
    return broken(real(fd, message, flags));
}

int fsync(int fd) {
    REAL(fsync);
    return is_file_below(fd) && fails(FILE_CALL) ? -1 : real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    return is_file_below(fd) && fails(FILE_CALL) ? -1 : real(fd);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    return is_below(to) && fails(FILE_CALL) ? -1 : real(from, to);
}

int ftruncate(int fd, off_t size) {
    REAL(ftruncate);
    return is_file_below(fd) && fails(FILE_CALL) ? -1 : real(fd, size);
}

static int opened(int (*real)(const char *, int, ...), const char *path, int flags, mode_t mode) {
    if (is_below(path) && flags & (O_WRONLY | O_RDWR | O_CREAT) && fails(FILE_CALL)) return -1;
    return real(path, flags, mode);
}

#define OPEN(name) \
    int name(const char *path, int flags, ...) { \
        REAL(name); \
        va_list rest; \
        va_start(rest, flags); \
        mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0; \
        va_end(rest); \
        return opened((int (*)(const char *, int, ...))real, path, flags, mode); \
    }

OPEN(open)
OPEN(open64)

int clock_gettime(clockid_t which, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(which, time);
    if (result == 0 && (which == CLOCK_REALTIME || which == CLOCK_REALTIME_COARSE) && control->wall_offset) {
        int64_t now = (int64_t)time->tv_sec * 1000000000 + time->tv_nsec + control->wall_offset;
        time->tv_sec = now / 1000000000;
        time->tv_nsec = now % 1000000000;
    }
    return result;
}
