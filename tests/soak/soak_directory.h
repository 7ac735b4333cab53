#ifndef TESTS_SOAK_SOAK_DIRECTORY_H
#define TESTS_SOAK_SOAK_DIRECTORY_H

#include "tests/soak/soak_view.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* A caller's cache of the node addresses that the directory returned. */
struct soak_directory;

struct soak_directory *soak_directory_create(struct soak_view *view,
					     GRand *random, bool keeps_stale);
void soak_directory_destroy(struct soak_directory *directory);
char *soak_directory_pick(struct soak_directory *directory);
void soak_directory_note_failed(struct soak_directory *directory,
				const char *front);

G_END_DECLS

#endif
