#include "ports/cordon.h"

/* Returns a cordon with a copy of the name, to be freed by cordon_destroy(). */
struct cordon *cordon_create(const char *failure_domain, int64_t position,
			     bool is_lifted)
{
	struct cordon *cordon = g_new0(struct cordon, 1);

	cordon->failure_domain = g_strdup(failure_domain);
	cordon->position = position;
	cordon->is_lifted = is_lifted;
	return cordon;
}

/* Frees a cordon; NULL is allowed. */
void cordon_destroy(struct cordon *cordon)
{
	if (!cordon)
		return;
	g_free(cordon->failure_domain);
	g_free(cordon);
}

static void cordon_free(gpointer data)
{
	cordon_destroy(data);
}

/* Creates an empty list that owns its cordons. */
GPtrArray *cordon_list_create(void)
{
	return g_ptr_array_new_with_free_func(cordon_free);
}
