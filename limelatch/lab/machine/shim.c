/* A library preloaded into a relay under test. It shifts the wall clock, and makes calls of the C library fail, move fewer bytes or
 * return late, by rules in a shared file that the test writes while the relay runs (see faults.py). Calls without a matching rule are
 * passed on unchanged. Only the process that loads the library is affected. */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/file.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

#define RULES 32
#define WORD 64
#define SECOND 1000000000LL

/* The same order as SYSTEM_CALLS in faults.py. */
enum call {
    SOCKET, BIND, LISTEN, ACCEPT, CONNECT, GETSOCKOPT, SETSOCKOPT, EPOLL_WAIT, RECV, SEND, SHUTDOWN, CLOSE,
    OPEN, READ, WRITE, FTRUNCATE, FSYNC, RENAME, UNLINK, MKDIR, FLOCK,
};

struct rule {
    _Atomic int64_t active;
    int64_t call;
    int64_t error;   /* errno, 0 for none */
    int64_t skip;    /* number of matching calls that are passed on first */
    int64_t times;   /* maximum number of calls that are changed, 0 for no bound */
    int64_t until;   /* end by CLOCK_MONOTONIC in nanoseconds, 0 for none */
    int64_t most;    /* maximum of bytes that a read or write moves, 0 for no bound */
    int64_t delay;   /* nanoseconds before the call */
    int64_t port;    /* port of the peer, for accept of the listener; 0 for any */
    _Atomic int64_t seen;
    _Atomic int64_t hits;
    char path[WORD]; /* part of the file's path; empty for any */
};

struct control {
    _Atomic int64_t wall_shift; /* nanoseconds */
    struct rule rules[RULES];
};

static struct control *control;

#define REAL(name) ((typeof(&name))real(#name, &real_##name))
#define DECLARE(name) static void *real_##name

static void *real(const char *name, void **place) {
    if (*place == NULL)
        *place = dlsym(RTLD_NEXT, name);
    return *place;
}

DECLARE(clock_gettime); DECLARE(socket); DECLARE(bind); DECLARE(listen); DECLARE(accept);
DECLARE(accept4); DECLARE(connect); DECLARE(getsockopt); DECLARE(setsockopt); DECLARE(epoll_wait); DECLARE(recv);
DECLARE(recvfrom); DECLARE(recvmsg); DECLARE(send); DECLARE(sendto); DECLARE(sendmsg); DECLARE(shutdown); DECLARE(close);
DECLARE(open); DECLARE(open64); DECLARE(openat); DECLARE(read); DECLARE(write); DECLARE(ftruncate); DECLARE(ftruncate64);
DECLARE(fsync); DECLARE(rename); DECLARE(unlink); DECLARE(mkdir); DECLARE(flock);

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("LIMELATCH_TEST_FAULTS");
    int file = path == NULL ? -1 : REAL(open)(path, O_RDWR);
    if (file < 0)
        return;
    void *map = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (map != MAP_FAILED)
        control = map;
    REAL(close)(file);
}

static int64_t monotonic(void) {
    struct timespec now;
    REAL(clock_gettime)(CLOCK_MONOTONIC, &now);
    return now.tv_sec * SECOND + now.tv_nsec;
}

static int port_of(const struct sockaddr *address) {
    return address != NULL && address->sa_family == AF_INET ? ntohs(((const struct sockaddr_in *)address)->sin_port) : 0;
}

static int port_matches(const struct rule *rule, int descriptor, const struct sockaddr *address) {
    struct sockaddr_in found = {0};
    socklen_t size = sizeof found;
    if (rule->port == 0)
        return 1;
    if (address != NULL)
        return port_of(address) == rule->port;
    if (getpeername(descriptor, (struct sockaddr *)&found, &size) == 0 && port_of((struct sockaddr *)&found) == rule->port)
        return 1;
    size = sizeof found;
    return getsockname(descriptor, (struct sockaddr *)&found, &size) == 0 && port_of((struct sockaddr *)&found) == rule->port;
}

static int path_matches(const struct rule *rule, int descriptor, const char *path) {
    char link[WORD], found[4096];
    if (rule->path[0] == 0)
        return 1;
    if (path != NULL)
        return strstr(path, rule->path) != NULL;
    snprintf(link, sizeof link, "/proc/self/fd/%d", descriptor);
    ssize_t size = readlink(link, found, sizeof found - 1);
    if (size < 0)
        return 0;
    found[size] = 0;
    return strstr(found, rule->path) != NULL;
}

/* Returns the rule that applies to this call, after its delay; NULL for none. A rule with an error sets errno. */
static struct rule *hit(enum call call, int descriptor, const struct sockaddr *address, const char *path) {
    if (control == NULL)
        return NULL;
    for (int number = 0; number < RULES; number++) {
        struct rule *rule = &control->rules[number];
        if (!atomic_load(&rule->active) || rule->call != call)
            continue;
        if (rule->until != 0 && monotonic() >= rule->until)
            continue;
        int before = errno;
        int matches = port_matches(rule, descriptor, address) && path_matches(rule, descriptor, path);
        errno = before;
        if (!matches || atomic_fetch_add(&rule->seen, 1) < rule->skip)
            continue;
        if (rule->times != 0 && atomic_load(&rule->hits) >= rule->times)
            continue;
        atomic_fetch_add(&rule->hits, 1);
        if (rule->delay != 0) {
            struct timespec span = {rule->delay / SECOND, rule->delay % SECOND};
            nanosleep(&span, NULL);
        }
        if (rule->error != 0)
            errno = rule->error;
        return rule;
    }
    return NULL;
}

static size_t cut(const struct rule *rule, size_t size) {
    return rule != NULL && rule->most != 0 && size > (size_t)rule->most ? (size_t)rule->most : size;
}

#define FAIL_BY_RULE(call, descriptor, address, path)                   \
    struct rule *rule = hit(call, descriptor, address, path);           \
    if (rule != NULL && rule->error != 0)                               \
        return -1

int clock_gettime(clockid_t id, struct timespec *now) {
    int result = REAL(clock_gettime)(id, now);
    if (control != NULL && result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
        int64_t shifted = now->tv_sec * SECOND + now->tv_nsec + atomic_load(&control->wall_shift);
        now->tv_sec = shifted / SECOND;
        now->tv_nsec = shifted % SECOND;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    struct timespec fine;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &fine);
    now->tv_sec = fine.tv_sec;
    now->tv_usec = fine.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *place) {
    struct timespec fine;
    clock_gettime(CLOCK_REALTIME, &fine);
    if (place != NULL)
        *place = fine.tv_sec;
    return fine.tv_sec;
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET) {
        FAIL_BY_RULE(SOCKET, -1, NULL, NULL);
    }
    return REAL(socket)(domain, type, protocol);
}

int bind(int descriptor, const struct sockaddr *address, socklen_t size) {
    FAIL_BY_RULE(BIND, descriptor, address, NULL);
    return REAL(bind)(descriptor, address, size);
}

int listen(int descriptor, int backlog) {
    FAIL_BY_RULE(LISTEN, descriptor, NULL, NULL);
    return REAL(listen)(descriptor, backlog);
}

int accept(int descriptor, struct sockaddr *address, socklen_t *size) {
    FAIL_BY_RULE(ACCEPT, descriptor, NULL, NULL);
    return REAL(accept)(descriptor, address, size);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *size, int flags) {
    FAIL_BY_RULE(ACCEPT, descriptor, NULL, NULL);
    return REAL(accept4)(descriptor, address, size, flags);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size) {
    FAIL_BY_RULE(CONNECT, descriptor, address, NULL);
    return REAL(connect)(descriptor, address, size);
}

/* A rule applies to SO_ERROR only: it replaces the result of a connection attempt. */
int getsockopt(int descriptor, int level, int name, void *value, socklen_t *size) {
    struct rule *rule = level == SOL_SOCKET && name == SO_ERROR ? hit(GETSOCKOPT, descriptor, NULL, NULL) : NULL;
    if (rule != NULL && rule->error != 0 && *size >= sizeof(int)) {
        *(int *)value = (int)rule->error;
        return 0;
    }
    return REAL(getsockopt)(descriptor, level, name, value, size);
}

int setsockopt(int descriptor, int level, int name, const void *value, socklen_t size) {
    FAIL_BY_RULE(SETSOCKOPT, descriptor, NULL, NULL);
    return REAL(setsockopt)(descriptor, level, name, value, size);
}

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout) {
    FAIL_BY_RULE(EPOLL_WAIT, -1, NULL, NULL);
    return REAL(epoll_wait)(descriptor, events, most, timeout);
}

ssize_t recv(int descriptor, void *bytes, size_t size, int flags) {
    FAIL_BY_RULE(RECV, descriptor, NULL, NULL);
    return REAL(recv)(descriptor, bytes, cut(rule, size), flags);
}

ssize_t recvfrom(int descriptor, void *bytes, size_t size, int flags, struct sockaddr *restrict address, socklen_t *restrict length) {
    FAIL_BY_RULE(RECV, descriptor, NULL, NULL);
    return REAL(recvfrom)(descriptor, bytes, cut(rule, size), flags, address, length);
}

ssize_t recvmsg(int descriptor, struct msghdr *message, int flags) {
    FAIL_BY_RULE(RECV, descriptor, NULL, NULL);
    return REAL(recvmsg)(descriptor, message, flags);
}

ssize_t send(int descriptor, const void *bytes, size_t size, int flags) {
    FAIL_BY_RULE(SEND, descriptor, NULL, NULL);
    return REAL(send)(descriptor, bytes, cut(rule, size), flags);
}

ssize_t sendto(int descriptor, const void *bytes, size_t size, int flags, const struct sockaddr *address, socklen_t length) {
    FAIL_BY_RULE(SEND, descriptor, address, NULL);
    return REAL(sendto)(descriptor, bytes, cut(rule, size), flags, address, length);
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags) {
    FAIL_BY_RULE(SEND, descriptor, NULL, NULL);
    return REAL(sendmsg)(descriptor, message, flags);
}

int shutdown(int descriptor, int how) {
    FAIL_BY_RULE(SHUTDOWN, descriptor, NULL, NULL);
    return REAL(shutdown)(descriptor, how);
}

/* As on Linux, the descriptor is closed even if close returns an error. */
int close(int descriptor) {
    struct rule *rule = hit(CLOSE, descriptor, NULL, NULL);
    int error = rule != NULL ? (int)rule->error : 0, result = REAL(close)(descriptor);
    if (error == 0)
        return result;
    errno = error;
    return -1;
}

static int opened(const char *path) {
    FAIL_BY_RULE(OPEN, -1, NULL, path);
    return 0;
}

#define MODE_OF(flags)                                       \
    mode_t mode = 0;                                         \
    if ((flags) & (O_CREAT | O_TMPFILE)) {                   \
        va_list more;                                        \
        va_start(more, flags);                               \
        mode = va_arg(more, mode_t);                         \
        va_end(more);                                        \
    }

int open(const char *path, int flags, ...) {
    MODE_OF(flags);
    return opened(path) < 0 ? -1 : REAL(open)(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    MODE_OF(flags);
    return opened(path) < 0 ? -1 : REAL(open64)(path, flags, mode);
}

int openat(int folder, const char *path, int flags, ...) {
    MODE_OF(flags);
    return opened(path) < 0 ? -1 : REAL(openat)(folder, path, flags, mode);
}

ssize_t read(int descriptor, void *bytes, size_t size) {
    FAIL_BY_RULE(READ, descriptor, NULL, NULL);
    return REAL(read)(descriptor, bytes, cut(rule, size));
}

/* With both a bound and an error, the first write moves up to that many bytes and the next ones fail, as on a disk that becomes full. */
ssize_t write(int descriptor, const void *bytes, size_t size) {
    struct rule *rule = hit(WRITE, descriptor, NULL, NULL);
    if (rule != NULL && rule->error != 0 && (rule->most == 0 || atomic_load(&rule->hits) > 1))
        return -1;
    return REAL(write)(descriptor, bytes, cut(rule, size));
}

int ftruncate(int descriptor, off_t size) {
    FAIL_BY_RULE(FTRUNCATE, descriptor, NULL, NULL);
    return REAL(ftruncate)(descriptor, size);
}

int ftruncate64(int descriptor, off64_t size) {
    FAIL_BY_RULE(FTRUNCATE, descriptor, NULL, NULL);
    return REAL(ftruncate64)(descriptor, size);
}

int fsync(int descriptor) {
    FAIL_BY_RULE(FSYNC, descriptor, NULL, NULL);
    return REAL(fsync)(descriptor);
}

int rename(const char *from, const char *to) {
    FAIL_BY_RULE(RENAME, -1, NULL, to);
    return REAL(rename)(from, to);
}

int unlink(const char *path) {
    FAIL_BY_RULE(UNLINK, -1, NULL, path);
    return REAL(unlink)(path);
}

int mkdir(const char *path, mode_t mode) {
    FAIL_BY_RULE(MKDIR, -1, NULL, path);
    return REAL(mkdir)(path, mode);
}

int flock(int descriptor, int operation) {
    FAIL_BY_RULE(FLOCK, descriptor, NULL, NULL);
    return REAL(flock)(descriptor, operation);
}
