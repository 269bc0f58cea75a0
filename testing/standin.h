#ifndef BG_TESTS_STANDIN_H
#define BG_TESTS_STANDIN_H

/** @file
 * Runs a stand-in program, such as bg-platform, in a test and sets its
 * switches. Failures end the test.
 */

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

struct standin {
	pid_t pid;
	char address[64];
};

/* Starts a program of the directory BG_BIN and waits until it is listening.
 * @param listen address "ip:port"; port 0: any free one */
static inline void
standin_start(struct standin *out, const char *program, const char *listen)
{
	extern char **environ;
	const char *dir = getenv("BG_BIN");
	char path[512];
	char line[128];
	char *argv[] = {path, "--listen", (char *)listen, NULL};
	posix_spawn_file_actions_t actions;
	int fds[2];
	FILE *fp;

	ck_assert_msg(dir != NULL, "BG_BIN is not set");
	snprintf(path, sizeof(path), "%s/%s", dir, program);
	ck_assert_int_eq(pipe(fds), 0);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_adddup2(&actions, fds[1], 1);
	posix_spawn_file_actions_addclose(&actions, fds[0]);
	ck_assert_int_eq(
	    posix_spawn(&out->pid, path, &actions, NULL, argv, environ), 0);
	posix_spawn_file_actions_destroy(&actions);
	close(fds[1]);
	fp = fdopen(fds[0], "r");
	ck_assert_ptr_nonnull(fgets(line, sizeof(line), fp));
	ck_assert_int_eq(sscanf(line, "listening %63s", out->address), 1);
	fclose(fp);
}

/* Stops the program, which must exit with status 0; a sanitizer reports errors
 * by another status. */
static inline void
standin_stop(struct standin *sti)
{
	int status;

	kill(sti->pid, SIGTERM);
	ck_assert_int_eq(waitpid(sti->pid, &status, 0), sti->pid);
	ck_assert(WIFEXITED(status));
	ck_assert_int_eq(WEXITSTATUS(status), 0);
}

/* @return the socket of a new connection */
static inline int
standin_connect(const struct standin *sti)
{
	struct sockaddr_in sin;
	const char *colon = strrchr(sti->address, ':');
	char ip[INET_ADDRSTRLEN] = "";
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	memset(&sin, 0, sizeof(sin));
	memcpy(ip, sti->address, (size_t)(colon - sti->address));
	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)atoi(colon + 1));
	ck_assert_int_eq(inet_pton(AF_INET, ip, &sin.sin_addr), 1);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return fd;
}

/* Sends one HTTP request and reads the response until the connection is
 * closed. */
static inline void
standin_request(
    const struct standin *sti, const char *request, char *out, size_t out_bytes)
{
	int fd = standin_connect(sti);
	size_t used = 0;
	ssize_t n;

	ck_assert_int_eq(
	    send(fd, request, strlen(request), 0), (ssize_t)strlen(request));
	while (used + 1 < out_bytes &&
	    (n = recv(fd, out + used, out_bytes - used - 1, 0)) > 0)
		used += (size_t)n;
	out[used] = '\0';
	close(fd);
}

/* Sets switches of the stand-in, given as a JSON object. */
static inline void
standin_control(const struct standin *sti, const char *json)
{
	char request[512];
	char response[512];

	snprintf(request, sizeof(request),
	    "POST /control HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    strlen(json), json);
	standin_request(sti, request, response, sizeof(response));
	ck_assert_msg(
	    strncmp(response, "HTTP/1.1 200", 12) == 0, "%s", response);
}

/* Gets a number from GET /stats. */
static inline long
standin_stat(const struct standin *sti, const char *name)
{
	char response[1024];
	char quoted[64];
	const char *at;

	standin_request(sti,
	    "GET /stats HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
	    response, sizeof(response));
	snprintf(quoted, sizeof(quoted), "\"%s\":", name);
	at = strstr(response, quoted);
	ck_assert_ptr_nonnull(at);
	return strtol(at + strlen(quoted), NULL, 10);
}

#endif
