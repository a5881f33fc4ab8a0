/* A library for LD_PRELOAD that fails system calls on IPv4 sockets and steps the wall clock, as a control file says.
 *
 * SOAK_CONTROL names the file; the soak writes it, this library maps it and reads it at each call.  Only the process
 * that it is loaded into is concerned.  Built by the soak: cc -shared -fPIC -O2 -o libsoak.so soak_shim.c -ldl
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
#define CODES 4

struct control {
    int64_t step_ns;             /* what the wall clock is off by */
    uint32_t shorten;            /* of a million sends and receives, how many move a part only */
    uint32_t seed;
    uint32_t per_million[CALLS]; /* of a million calls, how many fail */
    uint32_t codes[CALLS][CODES];
};

static struct control none;
static struct control *control = &none;
static uint64_t state = 88172645463325252ull;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("SOAK_CONTROL");
    int file = path ? open(path, O_RDONLY) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED) {
        control = mapped;
        state ^= (uint64_t)control->seed << 17 ^ (uint64_t)getpid();
    }
}

static uint32_t draw(void) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return (uint32_t)(state >> 32);
}

static int is_inet(int fd) {
    int domain = 0;
    socklen_t size = sizeof domain;
    return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == AF_INET;
}

static int fails(enum call call) {
    if (draw() % 1000000 >= control->per_million[call])
        return 0;
    errno = (int)control->codes[call][draw() % CODES];
    return errno != 0;
}

static size_t shortened(size_t size) {
    return size > 1 && draw() % 1000000 < control->shorten ? 1 + draw() % size : size;
}

#define FIND(name) \
    if (!real)     \
        *(void **)&real = dlsym(RTLD_NEXT, name)

ssize_t send(int fd, const void *data, size_t size, int flags) {
    static ssize_t (*real)(int, const void *, size_t, int);
    FIND("send");
    if (is_inet(fd)) {
        if (fails(SEND))
            return -1;
        size = shortened(size);
    }
    return real(fd, data, size, flags);
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    static ssize_t (*real)(int, void *, size_t, int);
    FIND("recv");
    if (is_inet(fd)) {
        if (fails(RECV))
            return -1;
        size = shortened(size);
    }
    return real(fd, data, size, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    FIND("connect");
    if (is_inet(fd) && fails(CONNECT))
        return -1;
    return real(fd, address, size);
}

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    static int (*real)(int, struct sockaddr *, socklen_t *);
    FIND("accept");
    if (is_inet(fd) && fails(ACCEPT))
        return -1;
    return real(fd, address, size);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    FIND("accept4");
    if (is_inet(fd) && fails(ACCEPT))
        return -1;
    return real(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) {
    static int (*real)(int, int, int);
    FIND("socket");
    if (domain == AF_INET && fails(SOCKET))
        return -1;
    return real(domain, type, protocol);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static int (*real)(clockid_t, struct timespec *);
    FIND("clock_gettime");
    int result = real(clock, now);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t whole = (int64_t)now->tv_sec * 1000000000 + now->tv_nsec + control->step_ns;
        now->tv_sec = whole / 1000000000;
        now->tv_nsec = whole % 1000000000;
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

time_t time(time_t *told) {
    struct timespec precise;
    clock_gettime(CLOCK_REALTIME, &precise);
    if (told)
        *told = precise.tv_sec;
    return precise.tv_sec;
}
