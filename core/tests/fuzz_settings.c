/* Loads arbitrary bytes as a settings file. */

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

#include "burdockgrade/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct bg_settings set;
	struct bg_error err;
	char path[64];
	int fd;

	if ((fd = memfd_create("settings", 0)) < 0)
		abort();
	if (write(fd, data, size) != (ssize_t)size)
		abort();
	snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	/* Settings that are accepted must be usable. */
	if (bg_settings_load(&set, path, &err) == 0 &&
	    (set.node.address[0] == '\0' ||
		set.limits.buffered_bytes < 2ULL * set.limits.body_bytes))
		abort();
	close(fd);
	return 0;
}
