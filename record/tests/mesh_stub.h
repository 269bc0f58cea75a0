#ifndef BG_TEST_MESH_STUB_H
#define BG_TEST_MESH_STUB_H

/* Stub of the mesh and of the platform for tests of the records task: several
 * nodes in one process with one roster and one platform object store. */

#include <event2/event.h>

#include "burdockgrade/mesh.h"
#include "burdockgrade/platform.h"

#define STUB_NODES 6

/** Forgets all nodes and objects. */
void stub_reset(struct event_base *base);
/** Adds a node to the roster. */
struct bg_mesh *stub_mesh_add(
    const char *address, const char *data_centre, uint64_t incarnation);
/** The node hears nothing any more. */
void stub_mesh_stop(struct bg_mesh *mesh);
void stub_mesh_set_relay(struct bg_mesh *mesh, int is_relay);
/** Changes the roster entry of a node and tells all nodes. */
void stub_member_dead(const char *address);
void stub_member_state(const char *address, enum bg_member_state state);
/** Items reach a node only while it is not cut off. */
void stub_mesh_cut(struct bg_mesh *mesh, int is_cut);

/** The next writes take effect, but their answers are lost. */
void stub_platform_lose_answers(int count);
void stub_platform_outage(int is_down);
uint64_t stub_platform_writes(void);

#endif
