#ifndef BRF_BASE_H
#define BRF_BASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#ifdef __cplusplus
#define BRF_BEGIN_DECLS extern "C" {
#define BRF_END_DECLS }
#else
#define BRF_BEGIN_DECLS
#define BRF_END_DECLS
#endif

#define BRF_US_PER_MS 1000ull
#define BRF_US_PER_S 1000000ull

#define brf_nitems(a) (sizeof(a) / sizeof((a)[0]))
#define brf_container_of(ptr, type, member) \
	((type *)(void *)((char *)(ptr)-offsetof(type, member)))

BRF_BEGIN_DECLS

/**
 * brf_calloc() - zeroed memory for @n items of @size bytes.
 *
 * Return: memory to be given to free(); never NULL, since the process ends
 * when memory runs out: a node that can't allocate can't keep a promise.
 */
void *brf_calloc(size_t n, size_t size);

/**
 * brf_realloc() - resize @p to @size bytes, as realloc(), never NULL.
 */
void *brf_realloc(void *p, size_t size);

/**
 * brf_strdup() - copy @len bytes at @s and end them with a NUL.
 *
 * Return: a string to be given to free().
 */
char *brf_strdup(const char *s, size_t len);

/**
 * brf_copy_name() - copy a NUL-ended string into a fixed array, cutting it.
 */
void brf_copy_name(char *dst, size_t size, const char *src);

BRF_END_DECLS

#endif
