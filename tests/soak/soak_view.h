#ifndef TESTS_SOAK_SOAK_VIEW_H
#define TESTS_SOAK_SOAK_VIEW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* State that the soak shares with its caller threads; a mutex guards it. */
struct soak_view;

struct soak_view *soak_view_create(int32_t nodes);
void soak_view_destroy(struct soak_view *view);
void soak_view_set_node(struct soak_view *view, int32_t node, const char *front,
			const char *connect_address, const char *directory);
char *soak_view_connect_address(struct soak_view *view, const char *front);
char *soak_view_front(struct soak_view *view, int32_t node);
char *soak_view_directory(struct soak_view *view, int32_t node);
int32_t soak_view_nodes(const struct soak_view *view);
void soak_view_set_version(struct soak_view *view, int32_t index);
int32_t soak_view_version(struct soak_view *view);
void soak_view_end_load(struct soak_view *view);
bool soak_view_has_load(struct soak_view *view);
void soak_view_end_probes(struct soak_view *view);
bool soak_view_has_probes(struct soak_view *view);
void soak_view_record_served(struct soak_view *view, int32_t node);
int64_t soak_view_served_us(struct soak_view *view, int32_t node);

G_END_DECLS

#endif
