/* A library for LD_PRELOAD that makes system calls on IPv4 sockets fail and steps the wall clock.
 *
 * The environment variable SOAK_CONTROL names the control file.  The soak writes the file
 * (fault_injection/system_calls.py); this library maps it and reads it at each call.  Only the process that loads the
 * library is affected.
 * Built by the soak: cc -shared -fPIC -O2 -o libsoak.so soak_shim.c -ldl
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum call { SEND, RECV, CONNECT, ACCEPT, SOCKET, CALLS };
#define CODES 4 /* per kind of call */
#define MILLION 1000000
#define NS_PER_S 1000000000

/* The layout of the control file; `CONTROL` in fault_injection/system_calls.py writes it. */
struct control {
    int64_t clock_step_ns;        /* added to the wall clock */
    uint32_t short_per_million;   /* of a million sends and receives, those that transfer only a part */
    uint32_t seed;
    uint32_t fail_per_million[CALLS]; /* of a million calls of each kind, those that fail */
    uint32_t codes[CALLS][CODES];     /* values of errno to choose from */
};

static struct control no_faults;
static struct control *control = &no_faults;
static uint64_t random_state = 88172645463325252ull;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("SOAK_CONTROL");
    int file = path ? open(path, O_RDONLY) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED) {
        control = mapped;
        random_state ^= (uint64_t)control->seed << 17 ^ (uint64_t)getpid();
    }
}

/* Returns a random number by xorshift64. */
static uint32_t next_random(void) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (uint32_t)(random_state >> 32);
}

static int is_inet(int fd) {
    int domain = 0;
    socklen_t size = sizeof domain;
    return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == AF_INET;
}

/* Decides whether this call fails; if so, sets errno and returns nonzero. */
static int fails(enum call call) {
    if (next_random() % MILLION >= control->fail_per_million[call])
        return 0;
    errno = (int)control->codes[call][next_random() % CODES];
    return errno != 0;
}

/* Returns how many of `size` bytes to transfer: for a short transfer a random part of them. */
static size_t shortened(size_t size) {
    return size > 1 && next_random() % MILLION < control->short_per_million ? 1 + next_random() % size : size;
}

/* Looks up the C library's function of this name at the first call and keeps it in `real`. */
#define FIND_REAL(name) \
    if (!real)          \
        *(void **)&real = dlsym(RTLD_NEXT, name)

ssize_t send(int fd, const void *data, size_t size, int flags) {
    static ssize_t (*real)(int, const void *, size_t, int);
    FIND_REAL("send");
    if (is_inet(fd)) {
        if (fails(SEND))
            return -1;
        size = shortened(size);
    }
    return real(fd, data, size, flags);
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    static ssize_t (*real)(int, void *, size_t, int);
    FIND_REAL("recv");
    if (is_inet(fd)) {
        if (fails(RECV))
            return -1;
        size = shortened(size);
    }
    return real(fd, data, size, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    FIND_REAL("connect");
    if (is_inet(fd) && fails(CONNECT))
        return -1;
    return real(fd, address, size);
}

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    static int (*real)(int, struct sockaddr *, socklen_t *);
    FIND_REAL("accept");
    if (is_inet(fd) && fails(ACCEPT))
        return -1;
    return real(fd, address, size);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    FIND_REAL("accept4");
    if (is_inet(fd) && fails(ACCEPT))
        return -1;
    return real(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) {
    static int (*real)(int, int, int);
    FIND_REAL("socket");
    if (domain == AF_INET && fails(SOCKET))
        return -1;
    return real(domain, type, protocol);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static int (*real)(clockid_t, struct timespec *);
    FIND_REAL("clock_gettime");
    int result = real(clock, now);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t stepped_ns = (int64_t)now->tv_sec * NS_PER_S + now->tv_nsec + control->clock_step_ns;
        now->tv_sec = stepped_ns / NS_PER_S;
        now->tv_nsec = stepped_ns % NS_PER_S;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    struct timespec precise;
    (void)zone;
    if (clock_gettime(CLOCK_REALTIME, &precise) != 0)
        return -1;
    now->tv_sec = precise.tv_sec;
    now->tv_usec = precise.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *result) {
    struct timespec precise;
    clock_gettime(CLOCK_REALTIME, &precise);
    if (result)
        *result = precise.tv_sec;
    return precise.tv_sec;
}
