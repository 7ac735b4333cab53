#ifndef TESTS_SOAK_SOAK_DIRECTORY_H
#define TESTS_SOAK_SOAK_DIRECTORY_H

#include "tests/soak/soak_view.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* What a caller knows of where to connect, and for how long. */
struct soak_directory;

struct soak_directory *soak_directory_create(struct soak_view *view,
					     GRand *random, bool keeps_long);
void soak_directory_destroy(struct soak_directory *directory);
char *soak_directory_choose(struct soak_directory *directory);
void soak_directory_note_failed(struct soak_directory *directory,
				const char *front);

G_END_DECLS

#endif
